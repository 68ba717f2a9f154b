package org.celerywalk.instance

/**
 * Identity of one run of a process.
 *
 * @property instance name from the settings; the same after a restart.
 * @property incarnation random id, new at each start.
 * @property address host and port of the process's gRPC server.
 */
public data class ProcessIdentity(
    public val instance: String,
    public val incarnation: String,
    public val role: Role,
    public val region: String,
    public val dataCentre: String,
    public val address: String,
)

/** Role of a process: an entry accepts callers' requests, an agent serves an endpoint. */
public enum class Role { ENTRY, AGENT }
