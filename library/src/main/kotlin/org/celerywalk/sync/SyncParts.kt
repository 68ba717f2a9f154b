package org.celerywalk.sync

import org.celerywalk.configuration.ConfigurationState
import org.celerywalk.configuration.DocumentCodec
import org.celerywalk.configuration.SnapshotStore
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.key.WithdrawnKeys
import org.celerywalk.key.WithdrawnKeysFreshness
import org.celerywalk.platform.InstanceList
import org.celerywalk.table.Table
import java.util.concurrent.Executor
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Holds what the synchronisation of one process works with.
 *
 * @property duty runs everything that changes the synchronisation's state, one task at a time.
 * @property wallClock milliseconds since the epoch, for the audit trail only.
 * @property report receives faults that need an operator's attention, one event a line.
 */
public data class SyncParts(
    public val identity: () -> ProcessIdentity,
    public val table: Table,
    public val instances: InstanceList,
    public val snapshots: SnapshotStore,
    public val peers: PeerClient,
    public val codec: DocumentCodec,
    public val freshness: WithdrawnKeysFreshness,
    public val withdrawn: WithdrawnKeys,
    public val settingsPeers: List<String>,
    public val time: TimeSource.WithComparableMarks,
    public val random: Random,
    public val duty: Executor,
    public val wallClock: () -> Long,
    public val report: (String) -> Unit,
) {
    /** Configuration in force in this process. */
    public val state: ConfigurationState = ConfigurationState(codec)
}
