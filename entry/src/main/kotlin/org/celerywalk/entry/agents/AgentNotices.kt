package org.celerywalk.entry.agents

import org.celerywalk.endpoint.EndpointNotices
import org.celerywalk.endpoint.agentStart
import org.tinylog.kotlin.Logger

/**
 * What agents have stated about themselves.
 *
 * @param stoppingAgents agents that have stated that they stop, by their incarnations.
 */
internal class AgentNotices(private val stoppingAgents: EndpointNotices) {
    /** Records that the agent of [endpoint] with [incarnation] has stated that it stops; what it runs goes on. */
    fun recordStopping(endpoint: String, incarnation: String) {
        if (stoppingAgents.recordLeaving(agentStart(incarnation))) {
            Logger.info("event=agent_says_stopping endpoint={} incarnation={}", endpoint, incarnation)
        }
    }

    /** Returns whether an agent has stated that it stops; false for null, an agent that has not answered yet. */
    fun isStopping(incarnation: String?): Boolean =
        incarnation != null && stoppingAgents.isLeaving(agentStart(incarnation))

    /** Forgets old statements of agents whose incarnations are not in [current]. */
    fun retain(current: List<String>) = stoppingAgents.retain(current.map(::agentStart).toSet())
}
