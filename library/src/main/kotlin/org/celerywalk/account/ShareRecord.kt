package org.celerywalk.account

/** Sum of all weights if every share is assigned, in millionths. */
public const val WHOLE_SHARE_MILLIONTHS: Int = 1_000_000

/**
 * Processes that admit requests, each with the fraction of every client account's rate and burst that it holds.
 *
 * The record is stored in the table under [SHARE_RECORD_KEY]; its weights sum to at most [WHOLE_SHARE_MILLIONTHS].
 */
public data class ShareRecord(public val holders: List<ShareHolder> = emptyList()) {
    /** Weight that is assigned to no process, in millionths. */
    public val freeMillionths: Int get() = WHOLE_SHARE_MILLIONTHS - holders.sumOf { it.weightMillionths }

    /** Returns the holder with [incarnation], or null if there is none. */
    public fun findHolder(incarnation: String): ShareHolder? = holders.find { it.incarnation == incarnation }

    /** Adds [holder], replacing any earlier incarnation of the same instance. */
    internal fun withHolder(holder: ShareHolder): ShareRecord =
        ShareRecord((holders.filter { it.instance != holder.instance } + holder).sortedBy { it.instance })

    internal fun withoutIncarnations(incarnations: Set<String>): ShareRecord =
        ShareRecord(holders.filter { it.incarnation !in incarnations })

    /** Encodes one line per holder: instance, incarnation, weight in millionths, renewal number. */
    internal fun encode(): String =
        holders.joinToString("\n") { "${it.instance} ${it.incarnation} ${it.weightMillionths} ${it.renewalNumber}" }

    public companion object {
        /** Table key of the record. */
        public const val SHARE_RECORD_KEY: String = "shares/entries"

        private val LINE_FORMAT = Regex("(\\S+) (\\S+) (\\d{1,7}) (\\d{1,18})")

        /** Decodes the text of [encode]; malformed lines are skipped. */
        internal fun decode(text: String): ShareRecord =
            ShareRecord(text.lines().mapNotNull(LINE_FORMAT::matchEntire).map { parseHolder(it.groupValues.drop(1)) })

        private fun parseHolder(fields: List<String>): ShareHolder {
            val (instance, incarnation, weightMillionths) = fields
            return ShareHolder(instance, incarnation, weightMillionths.toInt(), renewalNumber = fields.last().toLong())
        }
    }
}

/**
 * Share of one process.
 *
 * @property weightMillionths fraction of every rate and burst, in millionths.
 * @property renewalNumber increases with every renewal of the lease.
 */
public data class ShareHolder(
    public val instance: String,
    public val incarnation: String,
    public val weightMillionths: Int,
    public val renewalNumber: Long,
)
