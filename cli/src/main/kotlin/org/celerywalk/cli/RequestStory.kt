package org.celerywalk.cli

/** Holds the log events that concern one request, in the order of their time. */
internal class RequestStory(val events: List<LogEvent>) {
    /** Renders one line for each event; those of the request itself are marked. */
    fun lines(): List<String> {
        val start = events.first { it.ofRequest }.millis
        return events.map { event ->
            val mark = if (event.ofRequest) "*" else " "
            "$mark %+8d ms  %s".format(event.millis - start, event.text)
        }
    }

    companion object {
        // Beliefs change within seconds; older changes are part of the steady state.
        private const val BEFORE_MILLIS = 10_000
        private const val AFTER_MILLIS = 1_000
        private val BELIEFS = setOf(
            "configuration_adopted", "weights_named", "weights_ordered", "weights_order_ended", "endpoint_added",
            "endpoint_leaving", "endpoint_removed", "endpoint_ejected", "store_lost", "store_back", "start", "stop",
            "lease_won", "lease_lost", "log_dropped", "cache_reset",
        )

        /** Collects the events of [request] and the changes of belief at its gateways and endpoints around it. */
        fun of(request: String, lines: Sequence<String>): RequestStory {
            val all = lines.mapNotNull { LogEvent.parse(it, request) }.toList()
            val own = all.filter { it.ofRequest }
            if (own.isEmpty()) return RequestStory(emptyList())
            val instances = own.map { it.field("instance") }.toSet()
            val endpoints = own.mapNotNull { it.field("endpoint") }.toSet()
            val window = own.minOf { it.millis } - BEFORE_MILLIS..own.maxOf { it.millis } + AFTER_MILLIS
            val beliefs = all.filter { event ->
                val endpoint = event.field("endpoint")
                event.millis in window && event.field("event") in BELIEFS && event.field("instance") in instances &&
                    (endpoint == null || endpoint in endpoints)
            }
            return RequestStory((own + beliefs).sortedBy { it.millis })
        }
    }
}
