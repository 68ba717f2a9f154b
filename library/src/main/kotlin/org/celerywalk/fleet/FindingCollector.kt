package org.celerywalk.fleet

/** Collects findings of a check. */
internal class FindingCollector {
    private val findings = mutableListOf<FleetFinding>()

    fun error(subject: String, problem: String) {
        findings += FleetFinding(FindingSeverity.ERROR, subject, problem)
    }

    fun warn(subject: String, problem: String) {
        findings += FleetFinding(FindingSeverity.WARNING, subject, problem)
    }

    /** Adds an error if the [value] of [key] is 0 or less. */
    fun requirePositive(subject: String, key: String, value: Number) {
        if (value.toDouble() <= 0) error(subject, "$key is not above 0")
    }

    /** Adds an error if the [value] of [key] is less than 0. */
    fun requireNotNegative(subject: String, key: String, value: Number) {
        if (value.toDouble() < 0) error(subject, "$key is negative")
    }

    /** Returns and removes the findings, in the order in which they were added. */
    fun takeAll(): List<FleetFinding> = findings.toList().also { findings.clear() }
}
