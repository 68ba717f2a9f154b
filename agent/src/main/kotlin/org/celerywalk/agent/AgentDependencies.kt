package org.celerywalk.agent

import io.grpc.ServerServiceDefinition
import org.celerywalk.engine.Engine
import org.celerywalk.sync.ConfigurationSource
import org.celerywalk.table.Table
import kotlin.time.TimeSource

/**
 * Clients, clocks and configuration of an agent; tests pass fakes.
 *
 * @property engines engines by replica name.
 * @property services plain services by service name.
 * @property peers communication with other processes, null to run without it.
 */
public class AgentDependencies(
    public val table: Table,
    public val engines: Map<String, Engine>,
    public val services: Map<String, PlainService>,
    public val configuration: ConfigurationSource,
    public val peers: PeerSyncService? = null,
    public val clocks: AgentClocks = AgentClocks(),
)

/** Time sources of an agent; [wallClockMillis] returns milliseconds since the Unix epoch. */
public class AgentClocks(
    public val wallClockMillis: () -> Long = System::currentTimeMillis,
    public val timeSource: TimeSource = TimeSource.Monotonic,
)

/** Synchronises the configuration with other processes and answers their calls. */
public interface PeerSyncService : AutoCloseable {
    /** gRPC service that the agent adds to its server. */
    public val service: ServerServiceDefinition

    /** Starts the synchronisation; called once the agent's address is valid. */
    public fun start()

    /** Tells the other processes that the agent stops. */
    public fun announceStop()
}
