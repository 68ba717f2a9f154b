package org.celerywalk.gateway

import kotlin.time.Duration

/** Holds the IPv4 address and port of a listener or peer. */
public data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val LAST_PORT = 65_535

        /** Parses `HOST:PORT`, or returns null if [text] is something else. */
        public fun parse(text: String): SocketAddress? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 0..LAST_PORT) null else SocketAddress(host, port)
        }
    }
}

/**
 * Holds the settings of a gateway process; docs/configuration.md explains each key.
 *
 * @property firstStart true if the whole fleet starts for the first time, so that no quota was used before.
 * @property peerPort UDP port for the exchange between gateways; the same on all instances.
 * @property prefillTokensPerMilli speed at which a model replica reads prompts.
 */
public data class GatewaySettings(
    val instance: String,
    val dataCentre: String,
    val firstStart: Boolean,
    val callers: SocketAddress,
    val readiness: SocketAddress,
    val metrics: SocketAddress,
    val peerPort: Int,
    val store: SocketAddress,
    val prefillTokensPerMilli: Double,
    val bounds: GatewayBounds,
)

/**
 * Holds the times and amounts that operators promise to callers.
 *
 * @property keyWithdrawal time after which a withdrawn key must not work anywhere.
 * @property stopGrace time from SIGTERM until the process is killed.
 * @property retryRatio repeated sends to a service, as a share of its requests in [retryWindow].
 * @property retryAllowance repeated sends of all gateways together beyond that share.
 * @property orderLease time within which two processes must not both give orders to an endpoint.
 * @property weightsDeadline time after which no request may begin on older weights.
 */
public data class GatewayBounds(
    val keyWithdrawal: Duration,
    val stopGrace: Duration,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retryAllowance: Int,
    val orderLease: Duration,
    val weightsDeadline: Duration,
    val quotaOverage: Double,
)
