package org.celerywalk.entry

import org.celerywalk.http.HttpInstanceList
import org.celerywalk.http.HttpLimits
import org.celerywalk.http.HttpObjectStore
import org.celerywalk.http.HttpTable
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.KeyHasher
import org.celerywalk.routing.PrefixEndpointChooser
import org.celerywalk.settings.EntrySettings
import org.celerywalk.settings.PlatformSettings
import org.celerywalk.shares.RateShares
import org.celerywalk.sync.ConfigurationSync
import org.celerywalk.sync.KeyWithdrawalService
import org.celerywalk.sync.OperatorAuthenticator
import org.celerywalk.sync.OperatorService
import org.celerywalk.sync.PeerService
import org.celerywalk.sync.SyncSettings

// Limit for each platform service; a call occupies a thread while it runs.
private const val MAX_CONCURRENT_CALLS = 8

/** Creates an entry that uses the platform's table, object store and instance list. */
public fun EntrySettings.toDaemon(): EntryDaemon =
    EntryDaemon(this) { identity -> platformDependencies(this, identity) }

private fun platformDependencies(settings: EntrySettings, identity: ProcessIdentity): EntryDependencies {
    val process = settings.process
    val limits = settings.platform.toHttpLimits()
    val table = HttpTable(settings.platform.table, limits)
    val objectStore = HttpObjectStore(settings.platform.objectStore, limits)
    val instances = HttpInstanceList(settings.platform.instanceList, limits)
    val configurationSync = ConfigurationSync(
        SyncSettings(process.secret, process.peers, process.keyMaxAge),
        { identity },
        table,
        objectStore,
        instances,
    )
    val rateShares = RateShares(identity, table, process.secret, configurationSync) {
        configurationSync.synchroniser.entryAddresses()
    }
    val operatorGate = OperatorAuthenticator(KeyHasher(process.pepper)::hashHex, settings.bootstrapToken)
    val withdrawals = KeyWithdrawalService(configurationSync, operatorGate, table)
    return EntryDependencies(
        configuration = configurationSync,
        table = table,
        isWithdrawn = { it in configurationSync.withdrawnKeys },
        areKeysConfirmed = configurationSync.freshness::isConfirmed,
        admission = rateShares.admission,
        endpointChooser = PrefixEndpointChooser(),
        rateShare = rateShares::weight,
        buildServices = { summaries ->
            listOf(
                PeerService(configurationSync, withdrawals, rateShares).definition(),
                OperatorService(configurationSync, operatorGate, table, withdrawals, summaries).definition(),
            )
        },
        onStart = {
            configurationSync.start()
            rateShares.start()
        },
        endpointNotices = configurationSync.endpointNotices,
        onStop = { listOf(rateShares, configurationSync, table, objectStore, instances).forEach(AutoCloseable::close) },
    )
}

private fun PlatformSettings.toHttpLimits() = HttpLimits(
    connectTimeout = timeout,
    callTimeout = timeout,
    maxConcurrentCalls = MAX_CONCURRENT_CALLS,
    maxQueuedCalls = maxWaiting,
)
