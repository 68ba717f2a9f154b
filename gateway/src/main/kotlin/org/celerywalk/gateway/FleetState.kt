package org.celerywalk.gateway

import org.celerywalk.account.FleetQuota
import org.celerywalk.cache.PartLocations
import org.celerywalk.endpoint.EndpointDirectory
import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.key.AccountKeys
import org.celerywalk.key.StoreConfirmation
import org.celerywalk.limit.RetryBudget
import org.celerywalk.route.RouteTable
import org.celerywalk.routing.FleetLoads
import org.celerywalk.stream.RelocatableStreams
import org.celerywalk.weights.NamedHistory
import org.celerywalk.weights.NamedWeights
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Holds a configuration in force with its look-up tables. */
internal class ActiveConfiguration(val configuration: FleetConfiguration) {
    val routes = RouteTable(configuration.routes)
    val keys = configuration.accounts?.let(::AccountKeys)

    /** Store of kept KV cache, if the fleet has one. */
    val cacheStore = configuration.services.values.firstNotNullOfOrNull { it.cacheStore }
}

/** Holds all that a gateway process believes about the fleet. */
internal class FleetState(
    val settings: GatewaySettings,
    val timeSource: TimeSource.WithComparableMarks,
    private val members: () -> Int,
    private val quotaShare: () -> Double,
) {
    @Volatile
    var active: ActiveConfiguration? = null
        private set

    val confirmation = StoreConfirmation()

    val startGate = StartGate(timeSource, START_AT_MOST)
    val directory = EndpointDirectory(timeSource, REGISTRY_OUTAGE, REGISTRATIONS_RETURN)
    val loads = FleetLoads(timeSource)
    val locations = PartLocations(timeSource, PARTS_ASSUMED)
    val streams = RelocatableStreams(timeSource)
    val quotas = ConcurrentHashMap<String, FleetQuota>()
    private val budgets = ConcurrentHashMap<String, RetryBudget>()
    private val named = ConcurrentHashMap<String, NamedHistory>()

    /** Newest weights of each model. */
    val weights: List<NamedWeights> get() = named.map { (model, history) -> NamedWeights(model, history.newest) }

    /** Puts [configuration] in force unless a newer one is; returns true if it did. */
    @Synchronized
    fun adopt(configuration: FleetConfiguration): Boolean {
        val current = active
        if (current != null && current.configuration.version >= configuration.version) return false
        configuration.accounts.orEmpty().forEach(::configureQuota)
        active = ActiveConfiguration(configuration)
        return true
    }

    /** Records the newest weights of a model; returns true if they are news. */
    fun name(weights: NamedWeights): Boolean {
        val history = weightsOf(weights.model)
        // What was named before this process first read the store may be some time old.
        val age = if (history.newest == 0 && confirmation.age() == null) UNKNOWN_WEIGHTS_AGE else Duration.ZERO
        return weights.version > history.newest && history.name(weights.version, age)
    }

    fun weightsOf(model: String): NamedHistory = named.computeIfAbsent(model) { NamedHistory(timeSource) }

    fun quotaOf(account: String): FleetQuota =
        quotas.computeIfAbsent(account) { FleetQuota(timeSource, quotaShare) }

    fun budgetOf(service: String): RetryBudget = budgets.computeIfAbsent(service) {
        val bounds = settings.bounds
        // The allowance beyond the ratio is shared out among the gateways.
        RetryBudget(timeSource, bounds.retryWindow, bounds.retryRatio * RATIO_USED) {
            bounds.retryAllowance / members().coerceAtLeast(MIN_GATEWAYS)
        }
    }

    private fun configureQuota(account: AccountDefinition) {
        val initialFillFraction = if (settings.firstStart) 1.0 else RESTART_LEVEL
        val rate = account.rate * (1 + settings.bounds.quotaOverage * OVERAGE_USED)
        quotaOf(account.name).configure(rate, account.burst, initialFillFraction)
    }

    private companion object {
        // A store that has not answered by then may be away for long.
        val START_AT_MOST = 2.seconds

        // The registry is read every second.
        val REGISTRY_OUTAGE = 3500.milliseconds
        val REGISTRATIONS_RETURN = 2500.milliseconds

        // Events tell of parts within a few hundred milliseconds after a prompt was read.
        val PARTS_ASSUMED = 2.seconds

        // Requests of this process and of the whole service are counted in windows that do not coincide.
        const val RATIO_USED = 0.9
        const val MIN_GATEWAYS = 6

        // Other gateways tell the exact age, unless all have started at the same time.
        val UNKNOWN_WEIGHTS_AGE = 3.seconds

        // What was used before a restart is not known.
        const val RESTART_LEVEL = 0.4
        const val OVERAGE_USED = 0.3
    }
}
