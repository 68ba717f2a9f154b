package org.celerywalk.sync

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Settings of the synchronisation with table and peers.
 *
 * @property secret shared secret of all processes of the system.
 * @property peers gRPC addresses of other processes, as `host:port`.
 * @property keyMaxAge maximum time for which requests with keys are served without contact to the table.
 */
public data class SyncSettings(
    public val secret: String,
    public val peers: List<String> = emptyList(),
    public val keyMaxAge: Duration = 2.hours,
)
