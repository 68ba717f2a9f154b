package org.celerywalk.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import org.celerywalk.configuration.EndpointState
import org.celerywalk.configuration.PlatformSection
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.protocol.EndpointStatus
import org.celerywalk.settings.YamlCodec

/** Lists the endpoints that an entry knows. */
internal class EndpointList : Command(
    "list",
    "Lists the endpoints that the entry knows, with their state and replicas.",
    "celerywalk endpoint list --output json --entry 10.0.0.5:7001 --token-file token",
) {
    private val connection by ConnectionOptions()

    override fun run() {
        val endpoints = connection.use { it.endpoints() }.endpointsList
        print(mapOf("endpoints" to endpoints.map(::jsonFields))) {
            endpoints.map { "${it.endpoint} ${it.dataCentre} ${it.address} ${it.state} replicas=${it.replicasCount}" }
        }
    }

    private fun jsonFields(endpoint: EndpointStatus) = mapOf(
        "endpoint" to endpoint.endpoint,
        "data_centre" to endpoint.dataCentre,
        "address" to endpoint.address,
        "state" to endpoint.state,
        "replicas" to endpoint.replicasList.map {
            mapOf(
                "replica" to it.replica,
                "model" to it.model,
                "weights" to it.weights,
                "accepting" to it.accepting,
                "queued_tokens" to it.queuedTokens,
                "running" to it.running,
                "capacity" to it.capacity,
            )
        },
    )
}

/** Sets the state of an endpoint in the configuration to draining, or back to active. */
internal class EndpointDrain : Command(
    "drain",
    "Sets the state of an endpoint to draining, so that it receives no new work.",
    "celerywalk endpoint drain fukuoka-1 --entry 10.0.0.5:7001 --token-file token",
) {
    private val endpoint by argument()
    private val undo by option("--undo", help = "Set the state back to active").flag()
    private val connection by ConnectionOptions()

    override fun run() = connection.use { client ->
        val base = client.show().sections[Team.PLATFORM] ?: SectionText(0, "")
        val platform = YamlCodec.parse(Team.PLATFORM, base.yaml, "configuration").getOrNull() as? PlatformSection
        val names = platform?.endpoints.orEmpty().map { it.name }
        if (platform == null || endpoint !in names) {
            throw failure(ExitCode.INVALID, "unknown endpoint '$endpoint', expected one of ${names.joinToString()}")
        }
        val state = if (undo) EndpointState.ACTIVE else EndpointState.DRAINING
        val endpoints = platform.endpoints.map { if (it.name == endpoint) it.copy(state = state) else it }
        val text = YamlCodec.write(platform.copy(endpoints = endpoints))
        val sections = mapOf(Team.PLATFORM to SectionText(base.version, text))
        val reply = client.apply(ProposedChange(sections, newChangeId(), "$endpoint ${state.name.lowercase()}"))
        if (reply.result !in setOf("applied", "unchanged")) throw applyError(reply)
        val jsonFields = mapOf("endpoint" to endpoint, "state" to state.name.lowercase(), "version" to reply.version)
        print(jsonFields) { listOf("$endpoint ${state.name.lowercase()}, version ${reply.version}") }
    }
}
