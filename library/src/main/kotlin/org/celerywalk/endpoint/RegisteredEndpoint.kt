package org.celerywalk.endpoint

/**
 * Endpoint as it registered itself with the platform.
 *
 * @property id mostly unique for each start of the endpoint; some start again under the id that they had.
 * @property address host and port.
 * @property slots number of requests that the endpoint runs at once.
 * @property isDraining true while the endpoint drains.
 * @property startedAtMillis wall-clock time of the start in milliseconds since the epoch, null if unknown.
 * @property models weights version by model; empty for plain services.
 * @property softwareVersion version of the endpoint's software, null if it registers none.
 */
public data class RegisteredEndpoint(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val isDraining: Boolean,
    val startedAtMillis: Long?,
    val models: Map<String, Int>,
    val softwareVersion: String? = null,
) {
    /** The start that registered this entry. */
    val start: EndpointStart get() = EndpointStart(id, startedAtMillis)
}
