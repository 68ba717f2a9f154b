package org.celerywalk.entry.agents

import org.celerywalk.endpoint.EndpointNotices
import org.celerywalk.endpoint.EndpointStart
import org.celerywalk.endpoint.agentStart
import org.tinylog.kotlin.Logger
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * What agents have stated about themselves.
 *
 * @param stoppingAgents agents that have stated that they stop, by their incarnations.
 */
internal class AgentNotices(
    private val stoppingAgents: EndpointNotices,
    timeSource: TimeSource.WithComparableMarks,
) {
    private val fullQueues = EndpointNotices(timeSource)

    /** Records that the agent of [endpoint] with [incarnation] has stated that it stops; what it runs goes on. */
    fun recordStopping(endpoint: String, incarnation: String) {
        if (stoppingAgents.recordLeaving(agentStart(incarnation))) {
            Logger.info("event=agent_says_stopping endpoint={} incarnation={}", endpoint, incarnation)
        }
    }

    /** Returns whether an agent has stated that it stops; false for null, an agent that has not answered yet. */
    fun isStopping(incarnation: String?): Boolean =
        incarnation != null && stoppingAgents.isLeaving(agentStart(incarnation))

    /** Records that [queue] was full for a request, which may succeed after [duration]. */
    fun recordFull(queue: AccountQueueKey, duration: Duration) = fullQueues.recordPause(queue.toStart(), duration)

    /** Returns whether [queue] was full, and the retry time has not passed. */
    fun isFull(queue: AccountQueueKey): Boolean = !fullQueues.accepts(queue.toStart(), openCalls = 0)

    /** Forgets old statements of agents whose incarnations are not in [current]. */
    fun retain(current: List<String>) = stoppingAgents.retain(current.map(::agentStart).toSet())
}

/** Queue of [clientAccount] for [replica] at the agent with [agentIncarnation]. */
internal data class AccountQueueKey(val agentIncarnation: String, val replica: String, val clientAccount: String) {
    fun toStart() = EndpointStart("$agentIncarnation/$replica/$clientAccount", startedAtMillis = null)
}
