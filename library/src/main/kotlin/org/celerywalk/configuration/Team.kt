package org.celerywalk.configuration

/** A team of operators. Each team owns the section [sectionName] of the configuration document. */
public enum class Team(public val sectionName: String) {
    COMMERCIAL("commercial"),
    SECURITY("security"),
    PLATFORM("platform"),
}
