package org.celerywalk.endpoint

/**
 * Engine state that an entry assumed when it placed a request.
 *
 * @property agentIncarnation incarnation of the agent that the request is addressed to.
 * @property deadlineMillis wall-clock time after which the result is useless, in milliseconds since the epoch; 0 for no
 *   deadline.
 */
public data class ExpectedEngine(
    public val agentIncarnation: String,
    public val model: String,
    public val weights: String,
    public val deadlineMillis: Long,
)

/**
 * Engine state from its last status report.
 *
 * @property isLoading true while the engine loads weights.
 */
public data class ReportedEngine(
    public val model: String,
    public val weights: String,
    public val isLoading: Boolean,
)

/**
 * Reason for refusing a request before it reaches an engine.
 *
 * @property code machine-readable reason.
 */
public data class DispatchRefusal(public val code: String, public val message: String)

/**
 * Returns why the agent must refuse a request, or null if it may be sent to the engine.
 *
 * The agent checks when a request arrives and again when it leaves the queue.
 *
 * @param engine null if the engine reports no status.
 * @param isDraining true while the agent's endpoint drains.
 * @param nowMillis wall-clock time in milliseconds since the epoch.
 */
public fun checkDispatch(
    wanted: ExpectedEngine,
    agentIncarnation: String,
    engine: ReportedEngine?,
    isDraining: Boolean,
    nowMillis: Long,
): DispatchRefusal? = when {
    wanted.agentIncarnation != agentIncarnation ->
        DispatchRefusal("agent_replaced", "given incarnation ${wanted.agentIncarnation}, expected $agentIncarnation")
    isDraining -> DispatchRefusal("leaving", "the endpoint takes no new work")
    wanted.deadlineMillis in 1..nowMillis -> DispatchRefusal("deadline", "the deadline has passed")
    engine == null -> DispatchRefusal("engine_unavailable", "the engine gives no status")
    engine.isLoading || engine.weights != wanted.weights || engine.model != wanted.model -> DispatchRefusal(
        "weights_changed",
        "given ${wanted.model} ${wanted.weights}, the engine has ${engine.model} ${engine.weights}",
    )
    else -> null
}
