package org.celerywalk.bench

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class DeterminismTest {
    /** Guards against results that depend on wall-clock time, threads or hash order and so cannot be compared. */
    @Test
    fun `The same seed gives the same rows and another seed does not`() {
        val scenario = Scenario(Workload.Hanabusa, Condition.all.last(), load = 0.5)
        val rows = scenario.measurePolicies(listOf(1), listOf(Policy.Product, Policy.oracles.last()))
        assertEquals(rows, scenario.measurePolicies(listOf(1), listOf(Policy.Product, Policy.oracles.last())))
        assertNotEquals(rows, scenario.measurePolicies(listOf(2), listOf(Policy.Product, Policy.oracles.last())))
    }
}
