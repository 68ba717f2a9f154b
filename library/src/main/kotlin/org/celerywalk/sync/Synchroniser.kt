package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import kotlin.time.Duration

/**
 * Keeps the configuration, the withdrawn keys and the key trust of one process up to date.
 *
 * [pollTable], [exchange] and [readInstances] are called on the duty's thread, again after the time that they return.
 */
public class Synchroniser(private val parts: SyncParts) {
    private val adoption = Adoption(parts)
    private val table = TableSync(parts, adoption)
    private val peers = PeerSync(parts, adoption)

    /** Configuration in force, null before the first one. */
    public val configuration: Configuration? get() = parts.state.configuration

    /** Text of the configuration in force. */
    public val document: Document get() = parts.state.document

    /** Calls [listener] after each change, on the duty's thread; may be called on any thread. */
    public fun onChange(listener: (Configuration) -> Unit): Unit = adoption.listen(listener)

    /** Starts a poll of the table. */
    public fun pollTable(): Duration = table.poll()

    /** Starts a round of exchanges with other processes. */
    public fun exchange(): Duration = peers.exchange()

    /** Starts a reading of the instance list. */
    public fun readInstances(): Duration = peers.readInstances()

    /** Answers another process; may be called on any thread. */
    public fun answer(question: ExchangeQuestion): ExchangeAnswer {
        val grew = parts.withdrawn.add(question.withdrawn)
        parts.duty.execute { peers.questioned(question, grew) }
        // The age comes first: what is read after it is at least as new.
        val tableAge = parts.freshness.tableAge
        val tableAnswers = parts.freshness.tableAnswers
        val digest = parts.withdrawn.digest
        return ExchangeAnswer(
            receiver = parts.identity(),
            version = parts.state.document.version,
            withdrawnDigest = digest,
            withdrawn = if (digest == question.withdrawnDigest) emptySet() else parts.withdrawn.ids,
            tableAge = tableAge,
            tableAnswers = tableAnswers,
        )
    }

    /** Returns the version and the sections that are newer than those in [have]; may be called on any thread. */
    public fun newerSections(have: Map<Team, Long>): Pair<Long, Map<Team, SectionText>> {
        val document = parts.state.document
        return document.version to document.sections.filter { (team, text) -> text.version > (have[team] ?: 0L) }
    }

    /** Withdraws keys outside the configuration, in this process at once; may be called on any thread. */
    public fun withdraw(ids: Set<String>) {
        if (parts.withdrawn.add(ids)) parts.duty.execute { peers.spread() }
    }

    /** Adopts a change that this process has committed, tells peers, and keeps a copy in the object store. */
    public fun committed(document: Document) {
        parts.duty.execute {
            adoption.adopt(document)
            peers.announce()
        }
        parts.snapshots.save(document).thenAccept { result ->
            result.onLeft { parts.report("event=snapshot_not_saved message=\"${it.message}\"") }
        }
    }

    /** Returns the addresses of the other entries that this process knows; may be called on any thread. */
    public fun entryAddresses(): List<String> = peers.entryAddresses
}
