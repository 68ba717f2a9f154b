package org.celerywalk.entry.service

import com.google.protobuf.ByteString
import org.celerywalk.configuration.ServiceEntry
import org.celerywalk.key.CallerKey
import org.celerywalk.protocol.Header
import org.celerywalk.protocol.ServiceRequest
import java.security.MessageDigest

/** Call of a plain service; [idempotencyKey] is empty for repeatable services. */
internal data class ServiceCall(
    val requestId: String,
    val clientAccount: String,
    val service: ServiceEntry,
    val method: String,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: ByteString,
    val idempotencyKey: String,
) {
    /** Whether the call may run at most once. */
    val isBooking: Boolean get() = !service.repeatable

    /** SHA-256 of method, path and body. */
    val digest: ByteArray = MessageDigest.getInstance("SHA-256").run {
        update("$method\n$path\n".toByteArray())
        digest(body.toByteArray())
    }

    /** Whether any part of the call that the entry forwards contains [key]. */
    fun containsKey(key: CallerKey): Boolean = key.occursIn(idempotencyKey) ||
        headers.any { key.occursIn(it.second) } ||
        key.occursIn(body.toString(Charsets.ISO_8859_1))

    fun toMessage(attemptId: String, agentIncarnation: String, expiresAtMillis: Long): ServiceRequest =
        ServiceRequest.newBuilder()
            .setAttemptId(attemptId)
            .setAgentIncarnation(agentIncarnation)
            .setRequestId(requestId)
            .setClientAccount(clientAccount)
            .setService(service.name)
            .setMethod(method)
            .setPath(path)
            .addAllHeaders(headers.map { (name, value) -> Header.newBuilder().setName(name).setValue(value).build() })
            .setBody(body)
            .setIdempotencyKey(idempotencyKey)
            .setRequestDigest(ByteString.copyFrom(digest))
            .setExpiresAtMillis(expiresAtMillis)
            .build()
}

/** Answer of a plain service. */
internal class ServiceAnswer(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray)
