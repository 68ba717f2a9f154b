package org.celerywalk.endpoint

/**
 * One start of an endpoint.
 *
 * @property id ID of the endpoint, which it may keep when it starts again.
 * @property startedAtMillis wall-clock time of the start in milliseconds since the epoch, null if unknown.
 */
public data class EndpointStart(val id: String, val startedAtMillis: Long?)
