package org.celerywalk.configuration

/** Latest version of the configuration and of each section; stored as the value of `configuration/head`. */
public data class ConfigurationHead(public val version: Long, public val sections: Map<Team, Long>) {
    internal fun encode(): String =
        formEncode(listOf(VERSION_FIELD to "$version") + sections.map { (team, v) -> team.sectionName to "$v" })

    public companion object {
        /** Key of the record in the table. */
        public const val KEY: String = "configuration/head"

        /** Head of a table without any committed configuration. */
        internal val EMPTY = ConfigurationHead(0, emptyMap())

        private const val VERSION_FIELD = "version"

        internal fun decode(value: String): ConfigurationHead {
            val fields = formDecode(value).toMap()
            val sections = Team.entries.mapNotNull { team -> fields[team.sectionName]?.let { team to it.toLong() } }
            return ConfigurationHead(fields.getValue(VERSION_FIELD).toLong(), sections.toMap())
        }
    }
}

internal fun sectionKey(team: Team, version: Long) = "configuration/section/${team.sectionName}/$version"

/** Key of the idempotency record by which a retried change finds its own commit. */
internal fun changeKey(changeId: String) = "configuration/change/$changeId"
