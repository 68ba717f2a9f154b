package org.celerywalk.gateway

import org.celerywalk.account.FleetQuota
import org.celerywalk.cache.PartLocations
import org.celerywalk.endpoint.EndpointDirectory
import org.celerywalk.fleet.AccountDefinition
import org.celerywalk.fleet.FleetConfiguration
import org.celerywalk.fleet.RequestRanks
import org.celerywalk.gateway.rollout.RolloutRouting
import org.celerywalk.gateway.store.RegistrySync
import org.celerywalk.key.AccountKeys
import org.celerywalk.key.StoreConfirmation
import org.celerywalk.limit.EndpointCapacities
import org.celerywalk.limit.RetryBudget
import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.route.RouteTable
import org.celerywalk.routing.FleetLoads
import org.celerywalk.stream.RelocatableStreams
import org.celerywalk.weights.TargetWeights
import org.celerywalk.weights.WeightHistory
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The active fleet configuration with lookup tables derived from it.
 *
 * @property checksum checksum of the row that the configuration was read from.
 */
internal class ActiveConfiguration(val configuration: FleetConfiguration, val checksum: Long) {
    val routes = RouteTable(configuration.routes)
    val keys = configuration.accounts?.let(::AccountKeys)

    /** Ranks of requests; computed only where requests are admitted by load, since configurations may change often. */
    val ranks: RequestRanks by lazy { RequestRanks(configuration) }

    /** Store that keeps KV cache outside the replicas, or null if the fleet has none. */
    val cacheStore = configuration.services.values.firstNotNullOfOrNull { it.cacheStore }
}

/** A gateway process's view of the fleet: configuration, endpoints and their load, quotas and model weights. */
internal class FleetState(
    val settings: GatewaySettings,
    val timeSource: TimeSource.WithComparableMarks,
    private val gatewayCount: () -> Int,
    private val quotaShare: () -> Double,
) {
    @Volatile
    var activeConfiguration: ActiveConfiguration? = null
        private set

    val confirmation = StoreConfirmation()

    val startupGate = StartupGate(timeSource, MAX_STARTUP_HOLD)
    val directory = EndpointDirectory(
        timeSource,
        RegistrySync.readInterval(settings.bounds) + REGISTRY_OUTAGE_MARGIN,
        REREGISTRATION_GRACE,
    )
    val loads = FleetLoads(timeSource)
    val capacities = EndpointCapacities(timeSource)
    val locations = PartLocations(timeSource, SENT_PART_TTL)
    val streams = RelocatableStreams(timeSource)
    val quarantine = PromptPartQuarantine(timeSource)

    /** Roll-outs of services, or null if the settings allow none. */
    val rollouts = settings.bounds.rollouts?.let { RolloutRouting(settings.instance, it, timeSource) }
    val quotas = ConcurrentHashMap<String, FleetQuota>()
    private val retryBudgets = ConcurrentHashMap<String, RetryBudget>()
    private class PeerConfiguration(val version: Long, val reportedAt: ComparableTimeMark)

    @Volatile
    private var peerConfiguration: PeerConfiguration? = null
    private val weightHistories = ConcurrentHashMap<String, WeightHistory>()

    /** Newest announced weights of each model. */
    val newestWeights: List<TargetWeights>
        get() = weightHistories.map { (model, history) -> TargetWeights(model, history.newestVersion) }

    /**
     * Activates [configuration] unless the active one is newer or the same; returns true if it was activated.
     *
     * A version that the store has lost may be given out again with other content, told by another [checksum].
     */
    @Synchronized
    fun adopt(configuration: FleetConfiguration, checksum: Long): Boolean {
        val current = activeConfiguration
        val isOlder = current != null && current.configuration.version > configuration.version
        val isSame = current?.configuration?.version == configuration.version && current.checksum == checksum
        if (isOlder || isSame) return false
        configuration.accounts.orEmpty().forEach(::configureQuota)
        activeConfiguration = ActiveConfiguration(configuration, checksum)
        return true
    }

    /** Records that a peer has the configuration of [version] in force. */
    @Synchronized
    fun recordPeerConfiguration(version: Long) {
        val known = peerConfiguration
        if (known == null || version >= known.version || known.reportedAt.elapsedNow() > PEER_CONFIGURATION_VALIDITY) {
            peerConfiguration = PeerConfiguration(version, timeSource.markNow())
        }
    }

    /** Newest version of the configuration that a peer has lately reported to be in force, or 0 if there is none. */
    val newestPeerConfigurationVersion: Long
        get() = peerConfiguration?.takeIf { it.reportedAt.elapsedNow() <= PEER_CONFIGURATION_VALIDITY }?.version ?: 0

    /** Records the announced weights of a model; returns true if they are newer than those known so far. */
    fun recordWeights(weights: TargetWeights): Boolean {
        val history = weightHistoryOf(weights.model)
        // Weights that this process finds in its first read of the store may have been announced some time ago.
        val age = if (history.newestVersion == 0 && confirmation.age() == null) ASSUMED_WEIGHTS_AGE else Duration.ZERO
        return weights.version > history.newestVersion && history.recordPublication(weights.version, age)
    }

    fun weightHistoryOf(model: String): WeightHistory =
        weightHistories.computeIfAbsent(model) { WeightHistory(timeSource) }

    fun quotaOf(account: String): FleetQuota =
        quotas.computeIfAbsent(account) { FleetQuota(timeSource, quotaShare) }

    fun retryBudgetOf(service: String): RetryBudget = retryBudgets.computeIfAbsent(service) {
        val bounds = settings.bounds
        // The allowance in addition to the ratio is divided among the gateways.
        RetryBudget(timeSource, bounds.retryWindow, bounds.retryRatio * LOCAL_RATIO_SHARE) {
            bounds.retryAllowance / gatewayCount().coerceAtLeast(MIN_GATEWAYS)
        }
    }

    private fun configureQuota(account: AccountDefinition) {
        val initialFillFraction = if (settings.isFirstStart) 1.0 else RESTART_FILL_FRACTION
        val rate = account.rate * (1 + settings.bounds.quotaOverage * OVERAGE_SHARE)
        quotaOf(account.name).configure(rate, account.burst, initialFillFraction)
    }

    private companion object {
        // A store that has not answered within this time may be unavailable for a long time.
        val MAX_STARTUP_HOLD = 2.seconds

        // Time by which a read of the registry may be late before the registry counts as having been down.
        val REGISTRY_OUTAGE_MARGIN = 2500.milliseconds
        val REREGISTRATION_GRACE = 2500.milliseconds

        // Peers report their configuration several times within this time.
        val PEER_CONFIGURATION_VALIDITY = 5.seconds

        // Cache events report a prompt part within a few hundred milliseconds after its prefill.
        val SENT_PART_TTL = 2.seconds

        // This process and the whole service count requests in windows that don't coincide, so 10 % of the ratio is
        // kept in reserve.
        const val LOCAL_RATIO_SHARE = 0.9
        const val MIN_GATEWAYS = 6

        // Used until other gateways report the exact age, which they cannot if all gateways start at the same time.
        val ASSUMED_WEIGHTS_AGE = 3.seconds

        // The consumption before a restart is unknown, so the token buckets start partly full.
        const val RESTART_FILL_FRACTION = 0.4

        // Share of the permitted quota overage that the gateways use.
        const val OVERAGE_SHARE = 0.3
    }
}
