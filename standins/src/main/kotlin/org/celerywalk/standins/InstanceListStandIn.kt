package org.celerywalk.standins

import io.javalin.http.HttpStatus
import io.javalin.http.bodyAsClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Entry of the platform's instance list.
 *
 * @property role `entry` or `agent`.
 * @property address host and port of the instance's gRPC server.
 * @property leaving true while the instance shuts down.
 */
public data class WireInstance(
    public val name: String,
    public val role: String,
    public val region: String,
    public val dataCentre: String,
    public val address: String,
    public val leaving: Boolean = false,
)

/** Stand-in for the platform's instance list; a change appears in the list only after [lag]. */
public class InstanceListStandIn(port: Int = 0, private val lag: Duration = DEFAULT_LAG) : StandIn {
    private val instances = VersionedMap<WireInstance>()
    private val server = startServer(port) { config ->
        config.routes.get("/v1/instances") { it.json(mapOf("instances" to listInstances())) }
        config.routes.put("/test/instances/{name}") { ctx ->
            put(ctx.pathParam("name"), ctx.bodyAsClass<WireInstance>())
            ctx.status(HttpStatus.NO_CONTENT)
        }
        config.routes.delete("/test/instances/{name}") { ctx ->
            put(ctx.pathParam("name"), null)
            ctx.status(HttpStatus.NO_CONTENT)
        }
    }

    override val port: Int = server.port()

    override fun close() {
        server.stop()
    }

    /** Adds or replaces the entry of an instance, or removes it if [instance] is null. */
    @Synchronized
    public fun put(name: String, instance: WireInstance?) {
        instances[name] = instance
    }

    @Synchronized
    private fun listInstances() = instances.entriesWithPrefix("", lag).map { it.second }.toList()

    private companion object {
        val DEFAULT_LAG = 500.milliseconds
    }
}
