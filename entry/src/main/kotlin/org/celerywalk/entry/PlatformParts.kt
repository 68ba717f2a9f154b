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

// Calls of one platform service that run at the same time; each uses a thread while it runs.
private const val CONCURRENT_CALLS = 8

/** Makes an entry process that uses the platform's table, object store and instance list. */
public fun EntrySettings.toDaemon(): EntryDaemon = EntryDaemon(this) { identity -> platformParts(this, identity) }

private fun platformParts(settings: EntrySettings, identity: ProcessIdentity): EntryParts {
    val process = settings.process
    val limits = settings.platform.toLimits()
    val table = HttpTable(settings.platform.table, limits)
    val objectStore = HttpObjectStore(settings.platform.objectStore, limits)
    val instances = HttpInstanceList(settings.platform.instanceList, limits)
    val sync = ConfigurationSync(
        SyncSettings(process.secret, process.peers, process.keyMaxAge),
        { identity },
        table,
        objectStore,
        instances,
    )
    val shares = RateShares(identity, table, process.secret, sync) { sync.synchroniser.entryAddresses() }
    val operators = OperatorAuthenticator(KeyHasher(process.pepper)::hashHex, settings.bootstrapToken)
    val withdrawals = KeyWithdrawalService(sync, operators, table)
    return EntryParts(
        configuration = sync,
        table = table,
        withdrawn = { it in sync.withdrawn },
        keysConfirmed = sync.freshness::isConfirmed,
        admission = shares.admission,
        chooser = PrefixEndpointChooser(),
        services = { summaries ->
            listOf(
                PeerService(sync, withdrawals, shares).definition(),
                OperatorService(sync, operators, table, withdrawals, summaries).definition(),
            )
        },
        start = {
            sync.start()
            shares.start()
        },
        stop = { listOf(shares, sync, table, objectStore, instances).forEach(AutoCloseable::close) },
    )
}

private fun PlatformSettings.toLimits() = HttpLimits(
    connectTimeout = timeout,
    callTimeout = timeout,
    maxConcurrentCalls = CONCURRENT_CALLS,
    maxQueuedCalls = maxWaiting,
)
