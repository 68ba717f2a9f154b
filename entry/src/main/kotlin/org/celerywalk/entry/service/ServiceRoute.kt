package org.celerywalk.entry.service

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import com.google.protobuf.ByteString
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.ServiceEntry
import org.celerywalk.entry.http.AccessControl
import org.celerywalk.entry.http.AdmittedRequest
import org.celerywalk.entry.http.AuthenticatedRequest
import org.celerywalk.entry.http.CallerRequest
import org.celerywalk.entry.http.Exchange
import org.celerywalk.entry.http.HttpStatus
import org.celerywalk.entry.http.Problem
import org.celerywalk.entry.http.Route
import org.celerywalk.entry.http.invalidRequest
import org.celerywalk.entry.http.sendComplete
import org.celerywalk.entry.http.stoppingProblem
import org.celerywalk.entry.http.toProblem
import org.celerywalk.error.Execution
import org.celerywalk.key.CallerKey
import org.celerywalk.key.FORWARDED_HEADERS
import org.celerywalk.key.KeyError
import org.celerywalk.key.KeyProblem
import org.celerywalk.key.allowedHeaders
import org.celerywalk.key.targetHasKey

/** Handles requests to the plain services in the configuration. */
internal class ServiceRoute(
    private val accessControl: AccessControl,
    private val configuration: () -> Configuration?,
    private val serviceClient: AgentServiceClient,
) : Route {
    override val name = "service"

    override fun check(request: CallerRequest): Either<Problem, AdmittedRequest> = accessControl.checkAccepting()
        .flatMap { findService(request) }
        .flatMap { service ->
            val admitted = if (service.open) {
                admitOpen(request, service)
            } else {
                accessControl.authenticate(request).map { admitAuthenticated(it, service) }
            }
            admitted.flatMap { checkIdempotency(request, it) }
        }

    override fun handle(exchange: Exchange, body: ByteArray) {
        val admitted = exchange.admittedRequest as AdmittedServiceRequest
        buildCall(exchange.request, admitted, body).fold(exchange::refuse) { call ->
            if (!exchange.passOn { exchange.refuse(stoppingProblem(Execution.UNKNOWN)) }) return
            serviceClient.execute(call)
                .thenAccept { outcome -> outcome.fold(exchange::refuse) { writeAnswer(exchange, it) } }
                .exceptionally { failure -> exchange.fail(failure) }
        }
    }

    private fun findService(request: CallerRequest): Either<Problem, ServiceEntry> = either {
        val services = configuration()?.platform?.services.orEmpty()
        val matchingServices = services.filter { request.path == it.path || request.path.startsWith("${it.path}/") }
        ensureNotNull(matchingServices.maxByOrNull { it.path.length }) {
            invalidRequest("not_found", "no route has this path and method", HttpStatus.NOT_FOUND)
        }
    }

    private fun admitOpen(request: CallerRequest, service: ServiceEntry): Either<Problem, AdmittedServiceRequest> =
        either {
            ensure(!targetHasKey(request.path, request.query)) { KeyError(KeyProblem.IN_TARGET).toProblem() }
            AdmittedServiceRequest(service, "", null)
        }

    private fun admitAuthenticated(authenticated: AuthenticatedRequest, service: ServiceEntry) =
        AdmittedServiceRequest(service, authenticated.clientAccount, authenticated.authentication.key)

    private fun checkIdempotency(
        request: CallerRequest,
        admitted: AdmittedServiceRequest,
    ): Either<Problem, AdmittedServiceRequest> =
        either {
            val keyValues = request.headers.filter { it.first.equals(IDEMPOTENCY_KEY_HEADER, ignoreCase = true) }
                .map { it.second }
            val isRequired = !admitted.service.repeatable
            ensure(!isRequired || keyValues.size == 1 && keyValues.single().matches(IDEMPOTENCY_KEY_PATTERN)) {
                invalidRequest(
                    "idempotency_key_required",
                    "calls of this service need one Idempotency-Key of 1 to 128 visible ASCII characters",
                )
            }
            admitted.copy(idempotencyKey = keyValues.singleOrNull()?.takeIf { isRequired }.orEmpty())
        }

    private fun buildCall(
        request: CallerRequest,
        admitted: AdmittedServiceRequest,
        body: ByteArray,
    ): Either<Problem, ServiceCall> {
        val call = ServiceCall(
            requestId = request.requestId,
            clientAccount = admitted.clientAccount,
            service = admitted.service,
            method = request.method,
            path = request.path + request.query?.let { "?$it" }.orEmpty(),
            headers = allowedHeaders(request.headers, FORWARDED_HEADERS),
            body = ByteString.copyFrom(body),
            idempotencyKey = admitted.idempotencyKey,
        )
        return either { ensure(admitted.key == null || !call.containsKey(admitted.key)) { KEY_IN_CONTENT_PROBLEM } }
            .map { call }
    }

    private fun writeAnswer(exchange: Exchange, answer: ServiceAnswer) =
        exchange.answer { it.sendComplete(answer.status, answer.headers, answer.body) }

    private companion object {
        const val IDEMPOTENCY_KEY_HEADER = "idempotency-key"
        val IDEMPOTENCY_KEY_PATTERN = Regex("[!-~]{1,128}")
        val KEY_IN_CONTENT_PROBLEM = KeyError(KeyProblem.IN_CONTENT).toProblem()
    }
}

/** Admitted request to [service]; [key] is null and [clientAccount] empty if the service is open. */
internal data class AdmittedServiceRequest(
    val service: ServiceEntry,
    override val clientAccount: String,
    val key: CallerKey?,
    val idempotencyKey: String = "",
) : AdmittedRequest
