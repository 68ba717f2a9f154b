package org.celerywalk.quarantine

import kotlin.time.ComparableTimeMark

/** Applies crashes and answers, those of this instance and those that peers report, to [suspects]. Not thread-safe. */
internal class CrashLedger(private val suspects: SuspectParts) {
    private val recentAnswers = RecentAnswers()

    /** Crashes by the start of the endpoint, the latest [MAX_CRASHES]. */
    private val crashes = LinkedHashMap<String, Crash>()

    operator fun contains(endpointStart: String): Boolean = endpointStart in crashes

    /**
     * Adds a crash that this instance observed under [parts], and under the answers that the endpoint had just begun;
     * returns the parts that it counts against.
     */
    fun addCrash(endpointStart: String, parts: Collection<String>, crash: Crash): List<String> {
        remember(endpointStart, crash)
        return accuse(parts + recentAnswers.takeBack(endpointStart, crash.lostAt), endpointStart, crash)
    }

    /** Adds a crash that a peer reports for [part]; returns true if it was not known and counts. */
    fun addPeerCrash(endpointStart: String, part: String, crash: Crash): Boolean {
        val isNew = suspectOf(part).addCrash(endpointStart, crash, isOwn = false) { suspects.isServingWithout(part) }
        if (endpointStart !in crashes) {
            remember(endpointStart, crash)
            accuse(recentAnswers.takeBack(endpointStart, crash.lostAt), endpointStart, crash)
        }
        return isNew
    }

    /** Adds an answer that began [now] to a request that was sent at [sentAt]; returns the parts that it clears. */
    fun addAnswer(
        endpointStart: String,
        parts: Collection<String>,
        sentAt: ComparableTimeMark,
        now: ComparableTimeMark,
    ): List<String> {
        val crash = crashes[endpointStart]
        return if (crash != null && sentAt < crash.lostAt) {
            // The answer began before the crash and was read after it.
            accuse(parts, endpointStart, crash)
            emptyList()
        } else {
            recentAnswers.add(endpointStart, parts, now)
            parts.filter { suspects[it]?.addOwnAnswer(endpointStart, now) ?: false }
        }
    }

    /** Returns the evidence about [part], which begins with what this instance remembers of its answers. */
    fun suspectOf(part: String): SuspectPart = suspects[part] ?: suspects.getOrAdd(part).also { suspect ->
        recentAnswers.answersTo(part).forEach { (endpointStart, at) -> suspect.addOwnAnswer(endpointStart, at) }
    }

    private fun remember(endpointStart: String, crash: Crash) {
        crashes.putIfAbsent(endpointStart, crash)
        if (crashes.size > MAX_CRASHES) crashes -= crashes.keys.first()
    }

    private fun accuse(parts: Collection<String>, endpointStart: String, crash: Crash): List<String> =
        parts.toSet().filter(suspects::canHold).filter { part ->
            suspectOf(part).addCrash(endpointStart, crash, isOwn = true) { suspects.isServingWithout(part) }
        }

    private companion object {
        const val MAX_CRASHES = 256
    }
}
