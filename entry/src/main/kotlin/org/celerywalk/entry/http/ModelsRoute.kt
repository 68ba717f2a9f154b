package org.celerywalk.entry.http

import arrow.core.Either
import org.celerywalk.configuration.Configuration
import org.celerywalk.entry.chat.availableModels

/** Handles `GET /v1/models`, which lists the models that the caller may use. */
internal class ModelsRoute(
    private val accessControl: AccessControl,
    private val configuration: () -> Configuration?,
) : Route {
    override val name = "models"

    override fun check(request: CallerRequest): Either<Problem, AdmittedRequest> = accessControl.authenticate(request)

    override fun handle(exchange: Exchange, body: ByteArray) {
        val models = configuration()?.let { availableModels(it, exchange.admittedRequest.clientAccount) }.orEmpty()
        val data = models.map {
            mapOf("id" to it.name, "object" to "model", "created" to 0, "owned_by" to "celerywalk")
        }
        exchange.response.sendJson(HttpStatus.OK, Json.encode(mapOf("object" to "list", "data" to data)))
    }
}
