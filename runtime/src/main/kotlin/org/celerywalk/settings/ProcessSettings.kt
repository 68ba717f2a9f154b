package org.celerywalk.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings that entries and agents have in common: identity, addresses, secrets and timeouts.
 *
 * @property instance name of the instance, which stays the same over restarts.
 * @property grpc listen address of the gRPC server as `host:port`; port 0 selects a free port.
 * @property http listen address of the HTTP server as `host:port`; port 0 selects a free port.
 * @property secret shared secret of all processes of the system.
 * @property pepper key of the keyed hashes (HMAC) of API keys and operator tokens.
 * @property advertise host name under which peers reach this process; null for the host of [grpc].
 * @property peers gRPC addresses of other processes, as `host:port`, for discovery when no other source is available.
 * @property keyMaxAge maximum time for which requests with keys are served without contact to the table.
 * @property stopTimeout maximum time that running streams get to complete after SIGTERM.
 * @property leaveDelay time after SIGTERM in which the load balancer still sends new requests.
 */
public data class ProcessSettings(
    public val instance: String,
    public val region: String,
    public val dataCentre: String,
    public val grpc: String,
    public val http: String,
    public val secret: String,
    public val pepper: String,
    public val advertise: String? = null,
    public val peers: List<String> = emptyList(),
    public val keyMaxAge: Duration = 2.hours,
    public val stopTimeout: Duration = 10.minutes,
    public val leaveDelay: Duration = 5.seconds,
)

/**
 * Base URLs of the platform's services and limits on the calls to them.
 *
 * @property timeout maximum duration of one call.
 * @property maxWaiting maximum number of calls that wait at the same time.
 */
public data class PlatformSettings(
    public val table: String,
    public val objectStore: String,
    public val instanceList: String,
    public val timeout: Duration = 1.seconds,
    public val maxWaiting: Int = 64,
)

/**
 * Settings of an entry.
 *
 * @property bootstrapToken token that permits the first change of an empty table; null if there is none.
 */
public data class EntrySettings(
    public val process: ProcessSettings,
    public val platform: PlatformSettings,
    public val bootstrapToken: String? = null,
    public val limits: EntryLimits = EntryLimits(),
)

/**
 * Limits of an entry.
 *
 * @property maxStreams maximum number of open streams.
 * @property maxRequestBytes maximum size of a caller's request body.
 * @property streamBufferBytes maximum number of bytes buffered for one slow caller.
 * @property endpointTimeout maximum wait for the first event of an attempt.
 * @property requestTimeout maximum duration of a request.
 */
public data class EntryLimits(
    public val maxStreams: Int = 2_000,
    public val maxRequestBytes: Int = 1_048_576,
    public val streamBufferBytes: Int = 65_536,
    public val endpointTimeout: Duration = 10.seconds,
    public val requestTimeout: Duration = 5.minutes,
)

/**
 * Settings of an agent.
 *
 * @property endpoint name of the endpoint in the configuration document.
 */
public data class AgentSettings(
    public val process: ProcessSettings,
    public val platform: PlatformSettings,
    public val endpoint: String,
    public val engines: List<EngineSettings> = emptyList(),
    public val services: List<ServiceSettings> = emptyList(),
    public val limits: AgentLimits = AgentLimits(),
)

/** Base URL of the engine that serves the replica named [replica] in the configuration document. */
public data class EngineSettings(public val replica: String, public val url: String)

/** Base URL of the plain service named [service] in the configuration document. */
public data class ServiceSettings(public val service: String, public val url: String)

/**
 * Limits of an agent.
 *
 * @property maxQueued maximum number of queued requests per replica.
 * @property engineTimeout maximum wait for the next event of an engine.
 * @property serviceTimeout maximum duration of a call to a plain service.
 */
public data class AgentLimits(
    public val maxQueued: Int = 256,
    public val engineTimeout: Duration = 10.seconds,
    public val serviceTimeout: Duration = 20.seconds,
)
