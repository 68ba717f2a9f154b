package org.celerywalk.fleet

/** Compares two versions of the configuration of a fleet. */
public object FleetDifference {
    /**
     * Returns a line for each entry that [proposed] adds (`+`), removes (`-`) or changes (`~`) compared to [inForce].
     *
     * The lines contain no keys of accounts.
     */
    public fun between(inForce: FleetConfiguration, proposed: FleetConfiguration): List<String> =
        compare("route", inForce.routes.associateBy { it.name }, proposed.routes.associateBy { it.name }) +
            orderLines(inForce, proposed) +
            compare("service", inForce.services, proposed.services) +
            accountLines(inForce, proposed) +
            compare("limits", mapOf("of callers" to inForce.limits), mapOf("of callers" to proposed.limits))

    // The order decides which of several routes with the same host and prefix receives the requests.
    private fun orderLines(inForce: FleetConfiguration, proposed: FleetConfiguration): List<String> {
        val before = inForce.routes.map { it.name }
        val after = proposed.routes.map { it.name }
        val isReordered = before.filter { it in after } != after.filter { it in before }
        return if (isReordered) listOf("~ order of routes") else emptyList()
    }

    private fun accountLines(inForce: FleetConfiguration, proposed: FleetConfiguration): List<String> {
        val needLines = when {
            inForce.accounts == null && proposed.accounts != null -> listOf("~ requests need a key")
            inForce.accounts != null && proposed.accounts == null -> listOf("~ requests need no key")
            else -> emptyList()
        }
        val before = inForce.accounts.orEmpty().associateBy { it.name }
        val after = proposed.accounts.orEmpty().associateBy { it.name }
        return needLines + compare("account", before, after)
    }

    private fun compare(kind: String, before: Map<String, Any>, after: Map<String, Any>): List<String> =
        (before.keys + after.keys).sorted().mapNotNull { name ->
            when {
                name !in before -> "+ $kind $name"
                name !in after -> "- $kind $name"
                before[name] != after[name] -> "~ $kind $name"
                else -> null
            }
        }
}
