package org.celerywalk.endpoint

/**
 * Describes an endpoint as it registered itself.
 *
 * @property id name of one start of the endpoint.
 * @property startedAtMillis time of day of the start, or null if the endpoint does not tell.
 * @property models weights version by model; empty for plain services.
 */
public data class RegisteredEndpoint(
    val id: String,
    val service: String,
    val address: String,
    val dataCentre: String,
    val slots: Int,
    val leaving: Boolean,
    val startedAtMillis: Long?,
    val models: Map<String, Int>,
)
