package org.celerywalk.fleet

import org.celerywalk.route.Route

/**
 * Holds one version of what operators declare for a fleet whose endpoints are called directly.
 *
 * @property services by name.
 * @property accounts null if requests need no keys at all.
 */
public data class FleetConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceDefinition>,
    val accounts: List<AccountDefinition>?,
    val limits: CallerLimits,
)

/** Bounds what a caller may send. */
public data class CallerLimits(val maxHeaderBytes: Int, val maxBodyBytes: Int)

/**
 * Describes a service.
 *
 * @property maxConnections connections that one endpoint accepts from all callers together.
 * @property engine null unless the service consists of model replicas.
 * @property cacheStore null unless the service is a store of kept KV cache.
 */
public data class ServiceDefinition(
    val name: String,
    val maxConnections: Int,
    val engine: EngineDefinition?,
    val cacheStore: CacheStoreDefinition?,
)

/**
 * Describes the model replicas of a service.
 *
 * @property slots requests that a replica runs at once.
 * @property cacheTokens KV cache memory of a replica in tokens.
 * @property bytesPerToken KV cache size of a token.
 * @property linkMegabits bandwidth of a replica's link for KV cache.
 */
public data class EngineDefinition(
    val slots: Int,
    val cacheTokens: Int,
    val bytesPerToken: Long,
    val linkMegabits: Double,
    val models: List<String>,
)

/** Describes a store of kept KV cache. */
public data class CacheStoreDefinition(val address: String, val dataCentre: String)

/**
 * Describes a client account.
 *
 * @property priority rank that replaces the route's, or null.
 * @property isolated true if the account shares no KV cache with others.
 * @property countsTokens true if [rate] and [burst] count tokens, false if they count requests.
 * @property uncountedCost cost of a request that does not declare its tokens.
 * @property rate allowance per second; 0 means no limit.
 */
public data class AccountDefinition(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
    val isolated: Boolean,
    val countsTokens: Boolean,
    val uncountedCost: Long,
    val rate: Double,
    val burst: Double,
) {
    override fun toString(): String = "AccountDefinition(name=$name, keys=${keys.size})"
}
