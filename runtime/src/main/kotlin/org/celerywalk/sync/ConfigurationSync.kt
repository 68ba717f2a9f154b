package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.SnapshotStore
import org.celerywalk.endpoint.EndpointNotices
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.WithdrawnKeys
import org.celerywalk.key.WithdrawnKeysFreshness
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ObjectStore
import org.celerywalk.protocol.ExchangeReply
import org.celerywalk.settings.YamlCodec
import org.celerywalk.table.Table
import org.tinylog.kotlin.Logger
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Keeps the configuration, the withdrawn keys and their freshness up to date in this process, on a dedicated thread.
 *
 * ```
 * val sync = ConfigurationSync(SyncSettings(secret), ::identity, table, objectStore, instanceList)
 * val withdrawals = Withdrawals(sync, operators, table)
 * server.addService(PeerService(sync, withdrawals, lender).definition())
 * server.addService(OperatorService(sync, operators, table, withdrawals).definition())
 * server.start()
 * sync.start()
 * ```
 *
 * @param identity returns the identity of this process, with its final address once [start] has been called.
 */
public class ConfigurationSync(
    settings: SyncSettings,
    private val identity: () -> ProcessIdentity,
    table: Table,
    objectStore: ObjectStore,
    instances: InstanceList,
) : ConfigurationSource, AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "configuration-sync").apply { isDaemon = true } }
        .apply { executeExistingDelayedTasksAfterShutdownPolicy = false }
    private val channels = PeerChannels(settings.secret)

    /** Decides whether requests with keys may be served. */
    public val freshness: WithdrawnKeysFreshness = WithdrawnKeysFreshness(settings.keyMaxAge)

    /** Keys that were withdrawn outside the configuration. */
    public val withdrawnKeys: WithdrawnKeys = WithdrawnKeys()

    /** Agents that have stated that they stop. */
    public val endpointNotices: EndpointNotices = EndpointNotices(TimeSource.Monotonic)

    @Volatile
    private var replyListener: (ExchangeReply) -> Unit = {}

    /** The synchronisation with table and peers, for the gRPC services of this process. */
    public val synchroniser: Synchroniser = Synchroniser(
        SyncContext(
            identity = identity,
            table = table,
            instances = instances,
            snapshots = SnapshotStore(objectStore),
            peers = GrpcPeerClient(channels) { replyListener(it) },
            codec = YamlCodec,
            freshness = freshness,
            withdrawnKeys = withdrawnKeys,
            settingsPeers = settings.peers,
            time = TimeSource.Monotonic,
            random = Random.Default,
            executor = executor,
            wallClock = System::currentTimeMillis,
            report = { Logger.warn(it) },
            endpointNotices = endpointNotices,
        ),
    )

    init {
        synchroniser.onChange { Logger.info("event=configuration_adopted version={}", it.version) }
    }

    /** Sets [listener], which gets every exchange reply of a peer, including summaries of the peer's replicas. */
    public fun onReply(listener: (ExchangeReply) -> Unit) {
        replyListener = listener
    }

    /** Returns the identity of this process. */
    public fun identity(): ProcessIdentity = identity.invoke()

    /** Starts the synchronisation with table and peers. */
    public fun start() {
        repeatRound(synchroniser::readInstanceList)
        repeatRound(synchroniser::pollTable)
        repeatRound(synchroniser::exchangeWithPeers)
    }

    override fun current(): Configuration? = synchroniser.configuration

    override fun onChange(listener: (Configuration) -> Unit): Unit = synchroniser.onChange(listener)

    override fun close() {
        executor.shutdownNow()
        channels.close()
    }

    private fun repeatRound(round: () -> Duration) {
        executor.execute {
            val delay = runCatching(round).getOrElse {
                // An exception in one round must not end the synchronisation.
                Logger.error(it, "event=sync_round_failed")
                RETRY_DELAY
            }
            if (!executor.isShutdown) {
                executor.schedule({ repeatRound(round) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        val RETRY_DELAY: Duration = Duration.parse("1s")
    }
}
