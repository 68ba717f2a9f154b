package org.celerywalk.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TimeSource

/** Pattern: an hour of 33 gateways with 209 requests a second in all, each of which writes four lines. */
class RequestTimelineTest {
    @Test
    fun `a request is explained within a minute from the logs of a large fleet`() {
        val start = TimeSource.Monotonic.markNow()
        val lines = (0 until LINES).asSequence().map(::line)
        val timeline = RequestTimeline.collect("r-$REQUEST", lines)
        assertEquals(
            listOf("endpoint_says_leaving", "request_placed", "request_sent", "request_sent", "request_done"),
            timeline.events.map { it.field("event") },
        )
        assertTrue(start.elapsedNow() < 1.minutes, "took ${start.elapsedNow()}")
    }

    // The endpoint of the request states a second before it that it leaves; others do so all the time.
    private fun line(number: Int): String {
        val request = number / LINES_PER_REQUEST
        val millis = START_MILLIS + request * MILLIS_PER_SECOND / REQUESTS_PER_SECOND
        val prefix = """{"t":$millis,"event":"""
        val instance = """"instance":"edge-${request % GATEWAYS}""""
        val common = """$instance,"id":"r-$request","endpoint":"i-${request % ENDPOINTS}","outcome":"answered""""
        return when {
            request == REQUEST - REQUESTS_PER_SECOND && number % LINES_PER_REQUEST == 0 ->
                """$prefix"endpoint_says_leaving","instance":"edge-${REQUEST % GATEWAYS}","id":"r-$request",""" +
                    """"endpoint":"i-${REQUEST % ENDPOINTS}"}"""
            number % LINES_PER_REQUEST == 0 ->
                """$prefix"request_placed",$common,"weights":3,"cached":4000,"prompt":5200,"expected_ms":312.5}"""
            number % LINES_PER_REQUEST == LINES_PER_REQUEST - 1 ->
                """$prefix"request_done",$common,"route":"bucket-swap","status":200,"cut":false,"ms":312.5}"""
            else -> """$prefix"request_sent",$common,"reason":"it was answered in time","ms":311.5}"""
        }
    }

    private companion object {
        const val GATEWAYS = 33
        const val ENDPOINTS = 42
        const val REQUESTS_PER_SECOND = 209
        const val LINES_PER_REQUEST = 4
        const val LINES = REQUESTS_PER_SECOND * LINES_PER_REQUEST * 3_600
        const val REQUEST = 400_000
        const val START_MILLIS = 1_796_400_000_000
        const val MILLIS_PER_SECOND = 1_000L
    }
}
