package org.celerywalk.acceptance

import org.celerywalk.standins.table.TableFaults
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class RestartTest {
    private val fleet = Fleet(endpoints = 2, entries = 2, speed = 4.0).start()

    @AfterTest
    fun stop() = fleet.close()

    @Test
    fun `an entry restarted after a crash serves requests while the table does not respond`() {
        // Both entries hold a part of the rates first, so that the other entry can lend some to the restarted entry.
        // For its first seconds an entry may hold all of them, and the other may serve from loans only.
        listOf(0, 1).forEach { entry ->
            awaitCompletion(entry)
            waitUntil("entry $entry holds a part of the rates") {
                (fleet.caller(entry).metric("celerywalk_rate_share") ?: 0.0) > 0.0
            }
        }
        fleet.table.faults = TableFaults(outage = "hang")
        fleet.entries[0].kill()
        fleet.restartEntry(0)
        awaitCompletion(entry = 0)
        assertEquals(UNAUTHORIZED, fleet.caller(0, key = "cw_driver_not-the-issued-secret").status("/v1/models"))
    }

    private fun awaitCompletion(entry: Int) {
        var lastData = ""
        waitUntil("entry $entry completes a request", diagnostics = { lastData + fleet.entries[entry].logText() }) {
            fleet.caller(entry).stream(MESSAGE, COMPLETION_TOKENS).run {
                lastData = awaitEnd()
                lastData == "[DONE]" && text == EXPECTED_COMPLETION
            }
        }
    }

    private companion object {
        const val MESSAGE = "Which stops are left?"
        const val COMPLETION_TOKENS = 5
        val EXPECTED_COMPLETION = expectedCompletion(MESSAGE, COMPLETION_TOKENS)
        const val UNAUTHORIZED = 401
    }
}
