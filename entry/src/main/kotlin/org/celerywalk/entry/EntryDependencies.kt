package org.celerywalk.entry

import io.grpc.ServerServiceDefinition
import org.celerywalk.account.Admission
import org.celerywalk.endpoint.EndpointNotices
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.routing.EndpointChooser
import org.celerywalk.sync.ConfigurationSource
import org.celerywalk.table.Table
import kotlin.time.TimeSource

/**
 * Dependencies of an entry process, passed in so that tests can replace each one.
 *
 * @property isWithdrawn returns whether a key id was withdrawn outside the configuration.
 * @property areKeysConfirmed returns whether this process may serve requests with keys now.
 * @property rateShare returns the part of all rates that this process may use now, 0 to 1.
 * @property wallClock returns milliseconds since the epoch.
 * @property endpointNotices agents that have stated that they stop, shared with the exchange between processes.
 * @property buildServices builds the gRPC services for other processes and operators; `summaries` returns the last
 *   reported replica summaries of an endpoint.
 * @property onStart called when the process listens on its ports.
 * @property onStop called when all requests have ended or the stop timeout has passed.
 */
public data class EntryDependencies(
    public val configuration: ConfigurationSource,
    public val table: Table,
    public val isWithdrawn: (String) -> Boolean,
    public val areKeysConfirmed: () -> Boolean,
    public val admission: Admission,
    public val endpointChooser: EndpointChooser,
    public val rateShare: () -> Double = { 1.0 },
    public val buildServices: (summaries: (endpoint: String) -> List<ReplicaSummary>) -> List<ServerServiceDefinition> =
        { emptyList() },
    public val onStart: () -> Unit = {},
    public val onStop: () -> Unit = {},
    public val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    public val wallClock: () -> Long = System::currentTimeMillis,
    public val endpointNotices: EndpointNotices = EndpointNotices(timeSource),
)
