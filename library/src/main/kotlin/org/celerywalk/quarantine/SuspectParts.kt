package org.celerywalk.quarantine

/** Evidence about all suspect prompt parts, bounded in number. Not thread-safe. */
internal class SuspectParts {
    private val suspects = HashMap<String, SuspectPart>()

    val isEmpty: Boolean get() = suspects.isEmpty()

    operator fun get(part: String): SuspectPart? = suspects[part]

    fun getOrAdd(part: String): SuspectPart = suspects.getOrPut(part) { SuspectPart() }

    fun isQuarantined(part: String): Boolean = suspects[part]?.isQuarantined ?: false

    /** Returns true if evidence about [part] may be kept; a name of any length would take any memory. */
    fun canHold(part: String): Boolean = part.length <= MAX_NAME_CHARS

    fun quarantined(): Map<String, SuspectPart> = suspects.filterValues { it.isQuarantined }

    /** Returns true if [predicate] holds for any part in quarantine. */
    fun anyQuarantined(predicate: (String, SuspectPart) -> Boolean): Boolean =
        suspects.any { (part, suspect) -> suspect.isQuarantined && predicate(part, suspect) }

    /**
     * Returns false if the endpoints may crash under [part] for a reason of their own: there were crashes, and none of
     * the other parts that were lost with it has been answered since.
     */
    fun isServingWithout(part: String): Boolean {
        val suspect = suspects[part]
        val since = suspect?.verdict?.firstCrashAt ?: return false
        val lostWithIt = suspects.filter { (other, evidence) -> other != part && evidence.wasLostWith(suspect) }.values
        return lostWithIt.isEmpty() ||
            lostWithIt.any { other -> other.verdict.answeredAt?.let { it > since } ?: false }
    }

    /** Returns at most [count] parts, those with most crashes first and among them those with the latest ones. */
    fun mostSuspect(count: Int): Map<String, SuspectPart> =
        suspects.toList().sortedWith(MOST_SUSPECT_FIRST).take(count).toMap()

    /** Returns at most [count] parts that this instance received an answer for, those with the latest answers first. */
    fun latestAnswered(count: Int): Map<String, SuspectPart> =
        suspects.entries.filter { it.value.ownAnswerAt != null }.sortedByDescending { it.value.ownAnswerAt }.take(count)
            .associate { it.toPair() }

    /** Removes the parts whose evidence is out of date, and the least suspect ones beyond the maximum number. */
    fun prune() {
        suspects.values.forEach { it.settleAnswers() }
        suspects.values.removeIf { it.isExpired }
        if (suspects.size > MAX_PARTS) suspects.keys.retainAll(mostSuspect(MAX_PARTS).keys)
    }

    private companion object {
        // Bounds the memory: requests may name any number of parts.
        const val MAX_PARTS = 512

        // Names are hashes or numbers of 64 bits, with room for other forms.
        const val MAX_NAME_CHARS = 64
        val MOST_SUSPECT_FIRST = compareByDescending<Pair<String, SuspectPart>> { (_, suspect) -> suspect.crashCount }
            .thenByDescending { (_, suspect) -> suspect.lastChangeAt }
    }
}
