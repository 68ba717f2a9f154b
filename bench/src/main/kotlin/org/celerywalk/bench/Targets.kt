package org.celerywalk.bench

/** Checks the rows at [TARGET_LOAD] against targets. The bounds are product requirements, not measured values. */
internal class Targets(private val rows: List<Row>) {
    fun check(): List<Target> = Workload.all.map { it.name }.flatMap { workload ->
        Condition.all.mapNotNull { condition -> Group.of(rows, workload, condition) }.flatMap { groupTargets(it) }
    }

    private fun groupTargets(group: Group): List<Target> = listOf(
        group.atLeast("hit rate", MIN_HIT_RATE_TO_ORACLE, "oracle", group.oracle.hitRate, group.product.hitRate),
        group.atLeast("hit rate", 1.0, "best baseline", group.baselines.maxOf { it.hitRate }, group.product.hitRate),
        group.atMost("p99", MAX_P99_TO_ORACLE, "oracle", group.oracle.firstTokenP99, group.product.firstTokenP99),
        group.atMost("p99", MAX_P99_TO_BASELINE, "best baseline", group.baselineP99, group.product.firstTokenP99),
        group.atMost("wasted", MAX_WASTED_TO_ORACLE, "oracle", group.oracle.wastedShare, group.product.wastedShare),
        if (group.condition.isFault) {
            group.atMost(
                "refused after fault",
                1.0,
                "0.005",
                MAX_REFUSED_SHARE_AFTER_FAULT,
                group.product.refusedShareAfterFault,
            )
        } else {
            group.atMost("refused", 1.0, "0", 0.0, group.product.refusedShare)
        },
    ) + noisyAccountTargets(group) + entryRestartTargets(group)

    private fun noisyAccountTargets(group: Group): List<Target> {
        val noisyAccount = group.condition.noisyAccount ?: return emptyList()
        val steadyP99s = checkNotNull(Group.of(rows, group.product.workload, Condition.Steady))
            .product.accountFirstTokenP99
        val ratios = group.product.accountFirstTokenP99.zip(steadyP99s) { p99, steadyP99 -> p99 / steadyP99 }
        val worstRatio = ratios.filterIndexed { account, _ -> account != noisyAccount }.max()
        return listOf(
            group.atLeast("worst account's share", 1.0, "0.95", MIN_SERVED_SHARE, group.product.worstServedShare),
            group.atMost("worst account's p99 / without offender", 1.0, "1.2", MAX_P99_TO_STEADY, worstRatio),
        )
    }

    private fun entryRestartTargets(group: Group): List<Target> = listOfNotNull(
        group.condition.entryRestartTime?.let {
            group.atLeast(
                "hit rate of 10 s / before",
                1.0,
                "0.95",
                MIN_HIT_RATE_AFTER_RESTART,
                group.product.hitRateAfterFault,
            )
        },
    )

    /** Holds the rows of one workload and condition. */
    private class Group(val condition: Condition, val product: Row, val oracle: Row, val baselines: List<Row>) {
        val baselineP99 = baselines.minOf { it.firstTokenP99 }

        fun atLeast(figure: String, factor: Double, referenceName: String, reference: Double, measured: Double) =
            target(
                figure,
                "≥ ${bound(factor, referenceName)}",
                factor * reference,
                measured,
                measured >= factor * reference,
            )

        fun atMost(figure: String, factor: Double, referenceName: String, reference: Double, measured: Double) =
            target(
                figure,
                "≤ ${bound(factor, referenceName)}",
                factor * reference,
                measured,
                measured <= factor * reference,
            )

        private fun bound(factor: Double, referenceName: String) =
            if (factor == 1.0) referenceName else "$factor × $referenceName"

        private fun target(figure: String, bound: String, limit: Double, measured: Double, met: Boolean) =
            Target(product.workload, condition.name, figure, bound, limit, measured, met)

        companion object {
            /** Returns null if the product or the oracle was not measured. */
            fun of(rows: List<Row>, workload: String, condition: Condition): Group? {
                val targetRows =
                    rows.filter { it.workload == workload && it.condition == condition.name && it.load == TARGET_LOAD }
                val rowsByPolicy = targetRows.associateBy { it.policy }
                val product = rowsByPolicy[Policy.Product.name]
                val oracle = rowsByPolicy[Policy.oracles.first().name]
                val baselines = Policy.baselines.mapNotNull { rowsByPolicy[it.name] }
                return if (product == null || oracle == null) null else Group(condition, product, oracle, baselines)
            }
        }
    }

    /** Constants with `_TO_` in their name are ratios to the figure of that policy or condition. */
    companion object {
        /** Load for which the targets are stated, as a fraction of the workload's capacity. */
        const val TARGET_LOAD = 0.8
        private const val MIN_HIT_RATE_TO_ORACLE = 0.95
        private const val MAX_P99_TO_ORACLE = 1.3
        private const val MAX_P99_TO_BASELINE = 0.5
        private const val MAX_WASTED_TO_ORACLE = 1.2
        private const val MAX_REFUSED_SHARE_AFTER_FAULT = 0.005
        private const val MIN_SERVED_SHARE = 0.95
        private const val MAX_P99_TO_STEADY = 1.2
        private const val MIN_HIT_RATE_AFTER_RESTART = 0.95
    }
}
