package org.celerywalk.configuration

/**
 * Audit trail entry of one committed change, written in the same transaction as the change itself.
 *
 * @property operator name of the operator that made the change.
 * @property team name of the operator's team, or `bootstrap` if the change was made with the bootstrap token.
 * @property sections names of the changed sections.
 * @property timestampMillis wall-clock time in milliseconds since the epoch.
 * @property difference the changed entries, as lines of [org.celerywalk.configuration.difference].
 */
public data class AuditRecord(
    public val version: Long,
    public val previousVersion: Long,
    public val changeId: String,
    public val operator: String,
    public val team: String,
    public val sections: List<String>,
    public val timestampMillis: Long,
    public val difference: List<String>,
    public val comment: String,
) {
    internal fun encode(): String = formEncode(
        listOf(
            "version" to "$version",
            "previous" to "$previousVersion",
            "change" to changeId,
            "operator" to operator,
            "team" to team,
            "at" to "$timestampMillis",
            "comment" to comment,
        ) + sections.map { "section" to it } + difference.map { "difference" to it },
    )

    public companion object {
        /** Prefix of the keys of all audit records. */
        public const val PREFIX: String = "audit/"

        private const val VERSION_DIGITS = 12

        /** Key of the audit record of [version]; zero-padded, so that the keys sort by version. */
        public fun key(version: Long): String = PREFIX + version.toString().padStart(VERSION_DIGITS, '0')

        /** Decodes the stored value of an audit record. */
        public fun decode(value: String): AuditRecord {
            val fields = formDecode(value).groupBy({ it.first }, { it.second })
            fun singleValue(name: String) = fields.getValue(name).single()
            return AuditRecord(
                version = singleValue("version").toLong(),
                previousVersion = singleValue("previous").toLong(),
                changeId = singleValue("change"),
                operator = singleValue("operator"),
                team = singleValue("team"),
                sections = fields["section"].orEmpty(),
                timestampMillis = singleValue("at").toLong(),
                difference = fields["difference"].orEmpty(),
                comment = singleValue("comment"),
            )
        }
    }
}
