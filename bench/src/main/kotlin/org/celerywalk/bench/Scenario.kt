package org.celerywalk.bench

/** Identifies the workload, condition and load of a report row; [load] is a fraction of the workload's capacity. */
internal data class Scenario(val workload: Workload, val condition: Condition, val load: Double) {
    /** Measures every policy, but reports only the oracle that is best by the workload's most important metric. */
    fun measurePolicies(seeds: List<Int>, policies: List<Policy>): List<Row> {
        val rows = policies.map { it to measurePolicy(it, seeds) }
        val oracleRows = rows.filter { it.first.isOracle }.map { it.second }
        return rows.filterNot { it.first.isOracle }.map { it.second } + listOfNotNull(bestOracle(oracleRows))
    }

    private fun measurePolicy(policy: Policy, seeds: List<Int>): Row {
        val metrics = Metrics(workload.accountShares.size, condition.noisyAccount)
        seeds.forEach { metrics.add(Simulation(workload, condition, load, policy, it).execute()) }
        return Row.of(this, policy, metrics)
    }

    private fun bestOracle(oracleRows: List<Row>): Row? {
        if (oracleRows.isEmpty()) return null
        val lowestP99 = oracleRows.minOf { it.firstTokenP99 }
        val highestHitRate = oracleRows.maxOf { it.hitRate }
        return if (workload.prioritizesTailLatency) {
            oracleRows.filter { it.firstTokenP99 <= lowestP99 * (1 + TIE_TOLERANCE) }.maxBy { it.hitRate }
        } else {
            oracleRows.filter { it.hitRate >= highestHitRate * (1 - TIE_TOLERANCE) }.minBy { it.firstTokenP99 }
        }
    }

    private companion object {
        /** Relative difference in the more important metric that counts as a tie; the other metric then decides. */
        const val TIE_TOLERANCE = 0.02
    }
}
