package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.SnapshotStore
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
 * Keeps the configuration, the withdrawn keys and the key trust of this process up to date on a thread of its own.
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
 * @param identity of this process, with its real address once [start] has been called.
 */
public class ConfigurationSync(
    settings: SyncSettings,
    private val identity: () -> ProcessIdentity,
    table: Table,
    objectStore: ObjectStore,
    instances: InstanceList,
) : ConfigurationSource, AutoCloseable {
    private val duty = ScheduledThreadPoolExecutor(1) { Thread(it, "configuration-sync").apply { isDaemon = true } }
        .apply { executeExistingDelayedTasksAfterShutdownPolicy = false }
    private val channels = PeerChannels(settings.secret)

    /** Tells whether keyed requests may be served. */
    public val freshness: WithdrawnKeysFreshness = WithdrawnKeysFreshness(settings.keyMaxAge)

    /** Keys that were withdrawn outside the configuration. */
    public val withdrawn: WithdrawnKeys = WithdrawnKeys()

    @Volatile
    private var replies: (ExchangeReply) -> Unit = {}

    /** Decisions about table and peers, for the services of this process. */
    public val synchroniser: Synchroniser = Synchroniser(
        SyncParts(
            identity = identity,
            table = table,
            instances = instances,
            snapshots = SnapshotStore(objectStore),
            peers = GrpcPeers(channels) { replies(it) },
            codec = YamlCodec,
            freshness = freshness,
            withdrawn = withdrawn,
            settingsPeers = settings.peers,
            time = TimeSource.Monotonic,
            random = Random.Default,
            duty = duty,
            wallClock = System::currentTimeMillis,
            report = { Logger.warn(it) },
        ),
    )

    init {
        synchroniser.onChange { Logger.info("event=configuration_adopted version={}", it.version) }
    }

    /** Calls [listener] with every reply of a peer, which may contain summaries of replicas. */
    public fun onReply(listener: (ExchangeReply) -> Unit) {
        replies = listener
    }

    /** Identity of this process. */
    public fun identity(): ProcessIdentity = identity.invoke()

    /** Starts to follow table and peers. */
    public fun start() {
        repeat(synchroniser::readInstances)
        repeat(synchroniser::pollTable)
        repeat(synchroniser::exchange)
    }

    override fun current(): Configuration? = synchroniser.configuration

    override fun onChange(listener: (Configuration) -> Unit): Unit = synchroniser.onChange(listener)

    override fun close() {
        duty.shutdownNow()
        channels.close()
    }

    private fun repeat(round: () -> Duration) {
        duty.execute {
            val wait = runCatching(round).getOrElse {
                // A fault in one round must not end the synchronisation.
                Logger.error(it, "event=sync_round_failed")
                FAULT_WAIT
            }
            if (!duty.isShutdown) {
                duty.schedule({ repeat(round) }, wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        val FAULT_WAIT: Duration = Duration.parse("1s")
    }
}
