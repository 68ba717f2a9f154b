package org.celerywalk.gateway

import kotlin.time.Duration

/** IPv4 address and port of a listener or peer. */
public data class SocketAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535

        /** Parses `HOST:PORT`, or returns null if [text] has another form or the port is above 65535. */
        public fun parse(text: String): SocketAddress? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 0..MAX_PORT) null else SocketAddress(host, port)
        }
    }
}

/**
 * Settings of a gateway process; docs/configuration.md explains each key.
 *
 * @property isFirstStart true if the whole fleet starts for the first time, so that no quota has been consumed.
 * @property peerPort UDP port for messages between gateways; the same on all instances.
 * @property admitsByLoad true if requests are admitted by the load of the endpoints, false to send each at once.
 * @property prefillTokensPerMillisecond prefill throughput of a model replica, in prompt tokens per millisecond.
 */
public data class GatewaySettings(
    val instance: String,
    val dataCentre: String,
    val isFirstStart: Boolean,
    val callers: SocketAddress,
    val readiness: SocketAddress,
    val metrics: SocketAddress,
    val peerPort: Int,
    val store: SocketAddress,
    val prefillTokensPerMillisecond: Double,
    val admitsByLoad: Boolean,
    val bounds: GatewayBounds,
)

/**
 * Limits that operators guarantee to callers.
 *
 * @property keyWithdrawal time from the withdrawal of an API key until no gateway may accept it.
 * @property stopGrace time from SIGTERM until the platform kills the process.
 * @property retryRatio retries to a service, as a share of its requests in [retryWindow].
 * @property retryAllowance retries of all gateways together in addition to that share.
 * @property orderLease minimum time between the weight orders of two different processes to an endpoint.
 * @property endpointDrain time from an endpoint's announcement that it drains until it may get no more requests.
 * @property weightsDeadline time from the announcement of new weights until no request may start on older ones.
 * @property quotaOverage share of its rate by which a client account may exceed it.
 * @property rollouts limits of roll-outs, or null if there are none.
 */
public data class GatewayBounds(
    val keyWithdrawal: Duration,
    val stopGrace: Duration,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retryAllowance: Int,
    val orderLease: Duration,
    val endpointDrain: Duration,
    val weightsDeadline: Duration,
    val quotaOverage: Double,
    val rollouts: RolloutBounds? = null,
)

/**
 * Limits of the exposure to a new version of a service.
 *
 * @property canaryShare share of the requests to the service, between 0 and 1.
 * @property allowance requests in addition to that share, for retries and requests in flight. No gateway spends it.
 * @property rollback time from the 50th bad response until the version gets no more requests. Gateways stop sooner.
 */
public data class RolloutBounds(val canaryShare: Double, val allowance: Int, val rollback: Duration)
