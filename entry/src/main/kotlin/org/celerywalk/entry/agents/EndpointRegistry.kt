package org.celerywalk.entry.agents

import io.grpc.ManagedChannel
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.EndpointEntry
import org.celerywalk.configuration.EndpointState
import org.celerywalk.endpoint.ReplicaSummary

/**
 * Registry of the agent clients of all endpoints in the configuration.
 *
 * Endpoints whose agents have stated that they stop count as inactive until their agents have started again.
 *
 * @property notices what the agents have stated about themselves.
 * @param openChannel opens a channel to an address of the form `host:port`.
 */
internal class EndpointRegistry(
    val notices: AgentNotices,
    private val openChannel: (String) -> ManagedChannel,
) {
    @Volatile
    private var clients: Map<String, AgentClient> = emptyMap()

    /** Returns the replicas of active endpoints, as last reported by their agents. */
    fun activeReplicas(): List<ReplicaSummary> = activeClients().flatMap { it.summaries.values }

    fun client(endpoint: String): AgentClient? = clients[endpoint]

    /** Returns the clients of the active endpoints that run a plain service. */
    fun clientsForService(service: String): List<AgentClient> =
        activeClients().filter { service in it.endpoint.services }

    fun allClients(): Collection<AgentClient> = clients.values

    /** Creates clients of new endpoints, and closes those of endpoints that were removed or have a new address. */
    @Synchronized
    fun applyConfiguration(configuration: Configuration) {
        val previousClients = clients
        clients = configuration.platform.endpoints.associate { it.name to reuseOrCreate(previousClients[it.name], it) }
        previousClients.filter { (name, client) -> clients[name] !== client }.values.forEach(AgentClient::close)
    }

    @Synchronized
    fun close() {
        clients.values.forEach(AgentClient::close)
        clients = emptyMap()
    }

    private fun reuseOrCreate(client: AgentClient?, endpoint: EndpointEntry): AgentClient =
        if (client == null || client.endpoint.address != endpoint.address) {
            AgentClient(endpoint, openChannel(endpoint.address))
        } else {
            client.apply { this.endpoint = endpoint }
        }

    private fun activeClients() =
        clients.values.filter { it.endpoint.state == EndpointState.ACTIVE && !notices.isStopping(it.incarnation) }
}
