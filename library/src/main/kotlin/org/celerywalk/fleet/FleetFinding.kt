package org.celerywalk.fleet

/** Effect of a [FleetFinding]: a fleet does not work as written with an error, and may with a warning. */
public enum class FindingSeverity { ERROR, WARNING }

/**
 * Finding of the check of a fleet's configuration.
 *
 * @property subject entry that is concerned, for example `route chat`.
 */
public data class FleetFinding(val severity: FindingSeverity, val subject: String, val problem: String) {
    override fun toString(): String = "${severity.name.lowercase()}: $subject: $problem"
}
