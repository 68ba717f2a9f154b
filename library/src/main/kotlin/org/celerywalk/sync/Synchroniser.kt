package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.endpoint.agentStart
import org.celerywalk.instance.Role
import kotlin.time.Duration

/**
 * Keeps the configuration, the withdrawn keys and their freshness up to date in one process.
 *
 * [pollTable], [exchangeWithPeers] and [readInstanceList] are called on the executor of [SyncContext]; each returns the
 * delay after which it has to be called again.
 */
public class Synchroniser(private val context: SyncContext) {
    private val adoption = ConfigurationAdoption(context)
    private val table = TableSync(context, adoption)
    private val peers = PeerSync(context, adoption)

    /** The configuration in force, null before the first one. */
    public val configuration: Configuration? get() = context.state.configuration

    /** Text of the configuration in force. */
    public val document: Document get() = context.state.document

    /** Calls [listener] on the executor after each change of the configuration. May be called on any thread. */
    public fun onChange(listener: (Configuration) -> Unit): Unit = adoption.addListener(listener)

    /** Starts a poll of the table and returns the delay until the next poll. */
    public fun pollTable(): Duration = table.poll()

    /** Starts a round of exchanges with other processes and returns the delay until the next round. */
    public fun exchangeWithPeers(): Duration {
        // Entries know the endpoints that still exist, and forget the notices of others themselves.
        if (context.identity().role == Role.AGENT) context.endpointNotices.retain(emptySet())
        return peers.exchange()
    }

    /** Starts a read of the instance list and returns the delay until the next read. */
    public fun readInstanceList(): Duration = peers.readInstanceList()

    /** Answers an exchange that another process started. May be called on any thread. */
    public fun answerExchange(query: ExchangeQuery): ExchangeResponse {
        val hasNewWithdrawnKeys = context.withdrawnKeys.add(query.withdrawnKeyIds)
        // A stopping agent is the owner of the statement, which this process then reports to others.
        if (query.sender.incarnation in query.stoppingAgents) {
            context.endpointNotices.recordLeaving(agentStart(query.sender.incarnation))
        }
        context.endpointNotices.mergeLeaving(query.stoppingAgents.map(::agentStart).toSet())
        context.executor.execute { peers.handleQuery(query, hasNewWithdrawnKeys) }
        // The age is read before the version and the digest, so that these are at least as recent as the age says.
        val tableAge = context.freshness.tableAge
        val isTableReachable = context.freshness.isTableReachable
        val digest = context.withdrawnKeys.digest
        return ExchangeResponse(
            receiver = context.identity(),
            version = context.state.document.version,
            withdrawnDigest = digest,
            withdrawnKeyIds = if (digest == query.withdrawnDigest) emptySet() else context.withdrawnKeys.ids,
            tableAge = tableAge,
            isTableReachable = isTableReachable,
            stoppingAgents = context.endpointNotices.leavingStarts.map { it.id }.toSet(),
        )
    }

    /** Returns the configuration version and the sections newer than [knownVersions]. May be called on any thread. */
    public fun newerSections(knownVersions: Map<Team, Long>): Pair<Long, Map<Team, SectionText>> {
        val document = context.state.document
        return document.version to
            document.sections.filter { (team, text) -> text.version > (knownVersions[team] ?: 0L) }
    }

    /** Withdraws keys outside the configuration, at once in this process. May be called on any thread. */
    public fun withdraw(ids: Set<String>) {
        if (context.withdrawnKeys.add(ids)) context.executor.execute { peers.sendWithdrawnKeys() }
    }

    /** Tells the other processes that this agent stops. May be called on any thread. */
    public fun announceStop() {
        context.endpointNotices.recordLeaving(agentStart(context.identity().incarnation))
        context.executor.execute { peers.notifyPeers() }
    }

    /** Adopts a document that this process has committed, notifies peers and saves a snapshot in the object store. */
    public fun adoptCommitted(document: Document) {
        context.executor.execute {
            adoption.adopt(document)
            peers.notifyPeers()
        }
        context.snapshots.save(document).thenAccept { result ->
            result.onLeft { context.report("event=snapshot_not_saved message=\"${it.message}\"") }
        }
    }

    /** Returns the gRPC addresses of the other entries known to this process. May be called on any thread. */
    public fun entryAddresses(): List<String> = peers.entryAddresses
}
