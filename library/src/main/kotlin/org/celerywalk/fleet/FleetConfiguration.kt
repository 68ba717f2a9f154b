package org.celerywalk.fleet

import org.celerywalk.cache.CacheGroup
import org.celerywalk.route.Route

/**
 * One version of the operators' configuration of a fleet whose endpoints the gateways call directly.
 *
 * @property services services by name.
 * @property accounts client accounts, or null if no request needs a key.
 */
public data class FleetConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceDefinition>,
    val accounts: List<AccountDefinition>?,
    val limits: CallerLimits,
) {
    private val isolatedAccounts by lazy {
        accounts.orEmpty().filter { it.isIsolated }.mapTo(HashSet()) { it.name }
    }
    private val commonCacheGroup by lazy { CacheGroup.without(isolatedAccounts) }

    /** Returns the accounts that [account] shares KV cache with; null stands for a request without an account. */
    public fun cacheGroupOf(account: String?): CacheGroup =
        if (account != null && account in isolatedAccounts) CacheGroup.only(account) else commonCacheGroup
}

/** Size limits of a caller's request: headers and body, in bytes. */
public data class CallerLimits(val maxHeaderBytes: Int, val maxBodyBytes: Int)

/**
 * Service that routes send requests to.
 *
 * @property maxConnections connections that one endpoint accepts from all callers together.
 * @property engine model replicas of the service, or null if it has none.
 * @property cacheStore KV cache store, or null if the service is not one.
 */
public data class ServiceDefinition(
    val name: String,
    val maxConnections: Int,
    val engine: EngineDefinition?,
    val cacheStore: CacheStoreDefinition?,
)

/**
 * Model replicas of a service.
 *
 * @property slots requests that a replica runs concurrently.
 * @property cacheTokens KV cache capacity of a replica, in tokens.
 * @property bytesPerToken KV cache size of one token, in bytes.
 * @property linkMegabitsPerSecond bandwidth of a replica's link for KV cache transfer, in Mbit/s.
 * @property models names of the models that the replicas serve.
 */
public data class EngineDefinition(
    val slots: Int,
    val cacheTokens: Int,
    val bytesPerToken: Long,
    val linkMegabitsPerSecond: Double,
    val models: List<String>,
)

/** Store for KV cache blocks outside the replicas, with its network address and data centre. */
public data class CacheStoreDefinition(val address: String, val dataCentre: String)

/**
 * Client account with its keys and quota.
 *
 * @property priority urgency rank that replaces the route's, or null to keep the route's; 0 is the most urgent.
 * @property isIsolated true if the account shares no KV cache with other accounts.
 * @property countsTokens true if [rate] and [burst] count tokens, false if they count requests.
 * @property defaultCost cost, in tokens, of a request that does not declare its number of tokens.
 * @property rate quota per second; 0 means no limit.
 * @property burst quota that may be used at once.
 */
public data class AccountDefinition(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
    val isIsolated: Boolean,
    val countsTokens: Boolean,
    val defaultCost: Long,
    val rate: Double,
    val burst: Double,
) {
    override fun toString(): String = "AccountDefinition(name=$name, keys=${keys.size})"
}
