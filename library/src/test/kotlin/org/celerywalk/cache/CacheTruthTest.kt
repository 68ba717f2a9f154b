package org.celerywalk.cache

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against answers computed from cache entries of other accounts, other weights or earlier engine incarnations.
 *
 * Such an entry could be used after a crash, a change of weights or an import, with generated fault schedules.
 */
class CacheTruthTest {
    @Test
    fun `a request uses only cache entries of its own account and weights and of the running engine`() {
        var hitCount = 0
        onSchedules { schedule ->
            assertEquals(emptyList(), schedule.invalidUses)
            hitCount += schedule.hitCount
        }
        assertTrue(hitCount > SCHEDULE_COUNT, "only $hitCount requests had a cache hit")
    }

    @Test
    fun `the estimate equals the engine's cache after a full read has repaired lost events`() =
        onSchedules { schedule -> assertEquals(emptyList(), schedule.enginesWithWrongEstimate) }

    private fun onSchedules(check: (CacheSchedule) -> Unit) {
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULE_COUNT), Arb.long()) { seed ->
                check(CacheSchedule(seed).apply { run() })
            }
        }
    }

    private companion object {
        const val SEED = 1_030L
        const val SCHEDULE_COUNT = 1_000
    }
}
