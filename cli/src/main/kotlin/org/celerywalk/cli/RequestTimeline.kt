package org.celerywalk.cli

/** Log events that concern one request, in order of time. */
internal class RequestTimeline(val events: List<LogEvent>) {
    /** Formats one line for each event, with the time since the request's first event; `*` marks its own events. */
    fun lines(): List<String> {
        val startMillis = events.first { it.belongsToRequest }.millis
        return events.map { event ->
            val marker = if (event.belongsToRequest) "*" else " "
            "$marker %+8d ms  %s".format(event.millis - startMillis, event.text)
        }
    }

    companion object {
        // The gateways' view of the fleet settles within seconds; older changes are part of the steady state.
        private const val MILLIS_BEFORE = 10_000
        private const val MILLIS_AFTER = 1_000
        private val STATE_CHANGE_EVENTS = setOf(
            "configuration_adopted", "weights_named", "weights_ordered", "weights_order_ended", "endpoint_added",
            "endpoint_leaving", "endpoint_removed", "endpoint_ejected", "store_lost", "store_back", "start", "stop",
            "lease_won", "lease_lost", "log_dropped", "cache_reset", "endpoint_says_leaving", "endpoint_pauses",
            "endpoint_replaced", "endpoint_crashed", "part_quarantined", "endpoint_limit", "endpoint_slow",
            "endpoint_fast",
            "rollout_ordered", "rollout_phase", "rollout_refused", "rollout_worse", "rollout_written",
        )

        /**
         * Collects the events of [request], and the state changes of its gateways and endpoints shortly before, during
         * and shortly after it. Holds only these two kinds of events, however many [lines] there are.
         */
        fun collect(request: String, lines: Sequence<String>): RequestTimeline {
            val events = lines.filter { request in it || mayBeStateChange(it) }
                .mapNotNull { LogEvent.parse(it, request) }
                .filter { it.belongsToRequest || it.field("event") in STATE_CHANGE_EVENTS }
                .toList()
            val requestEvents = events.filter { it.belongsToRequest }
            if (requestEvents.isEmpty()) return RequestTimeline(emptyList())
            val instances = requestEvents.map { it.field("instance") }.toSet()
            val endpoints = requestEvents.flatMap { it.endpointIds }.toSet()
            val window =
                requestEvents.minOf { it.millis } - MILLIS_BEFORE..requestEvents.maxOf { it.millis } + MILLIS_AFTER
            val stateChanges = events.filter { event ->
                val endpoint = event.field("endpoint")
                !event.belongsToRequest && event.millis in window && event.field("instance") in instances &&
                    (endpoint == null || endpoint in endpoints)
            }
            return RequestTimeline((requestEvents + stateChanges).sortedBy { it.millis })
        }

        // Parsing takes most of the time. A line in another form, as a log collector may write it, is parsed.
        private fun mayBeStateChange(line: String): Boolean {
            val start = line.indexOf(EVENT_FIELD) + EVENT_FIELD.length
            val end = line.indexOf('"', start)
            return start < EVENT_FIELD.length || end < 0 || line.substring(start, end) in STATE_CHANGE_EVENTS
        }

        private const val EVENT_FIELD = "\"event\":\""
    }
}
