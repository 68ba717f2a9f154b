package org.celerywalk.gateway.forwarding

import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.FleetState
import org.celerywalk.gateway.GatewayMetrics
import org.celerywalk.gateway.admission.GenerationGate
import org.celerywalk.gateway.endpoints.EndpointClient
import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ServiceEndpointChooser
import java.util.concurrent.ScheduledExecutorService
import kotlin.random.Random

/** Dependencies that all forwarded requests share. */
internal class ForwardingContext(
    val state: FleetState,
    val sendContext: SendContext,
    val choosers: EndpointChoosers,
    val quarantine: QuarantineEnforcer,
    val gate: GenerationGate,
    val random: Random = Random.Default,
)

/**
 * Choosers of endpoints.
 *
 * @property generations chooser of model replicas.
 * @property services chooser of endpoints of services without an engine.
 * @property calls gate to endpoints of services without an engine that have registered slots.
 */
internal class EndpointChoosers(
    val generations: GenerationPlacer,
    val services: ServiceEndpointChooser,
    val calls: ServiceCallGate,
)

/**
 * Dependencies of a send to an endpoint.
 *
 * @property timers runs the time limits of requests and sends.
 * @property responseMemory memory for the responses that are not complete yet.
 */
internal class SendContext(
    val client: EndpointClient,
    val replicas: ReplicaCalls,
    val log: EventLog,
    val metrics: GatewayMetrics,
    val responseMemory: ResponseMemory,
    val timers: ScheduledExecutorService,
)
