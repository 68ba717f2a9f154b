package org.celerywalk.sync

import org.celerywalk.configuration.ConfigurationState
import org.celerywalk.configuration.DocumentCodec
import org.celerywalk.configuration.SnapshotStore
import org.celerywalk.endpoint.EndpointNotices
import org.celerywalk.endpoint.agentStart
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.WithdrawnKeys
import org.celerywalk.key.WithdrawnKeysFreshness
import org.celerywalk.platform.InstanceList
import org.celerywalk.table.Table
import java.util.concurrent.Executor
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Dependencies of the synchronisation of one process.
 *
 * @property identity returns the identity of this process, with its final address once the synchronisation has started.
 * @property settingsPeers gRPC addresses of other processes from the settings.
 * @property executor runs all tasks that change the state of the synchronisation, one at a time.
 * @property endpointNotices agents that have stated that they stop, as their [agentStart].
 * @property wallClock milliseconds since the epoch, for the audit trail only.
 * @property report logs a fault that needs an operator's attention; each call is one event on one line.
 */
public data class SyncContext(
    public val identity: () -> ProcessIdentity,
    public val table: Table,
    public val instances: InstanceList,
    public val snapshots: SnapshotStore,
    public val peers: PeerClient,
    public val codec: DocumentCodec,
    public val freshness: WithdrawnKeysFreshness,
    public val withdrawnKeys: WithdrawnKeys,
    public val settingsPeers: List<String>,
    public val time: TimeSource.WithComparableMarks,
    public val random: Random,
    public val executor: Executor,
    public val wallClock: () -> Long,
    public val report: (String) -> Unit,
    public val endpointNotices: EndpointNotices = EndpointNotices(time),
) {
    /** Configuration that is in force in this process. */
    public val state: ConfigurationState = ConfigurationState(codec)
}
