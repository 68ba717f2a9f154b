package org.celerywalk.gateway

import org.celerywalk.platform.wire.ReplicaCalls
import org.celerywalk.routing.ServiceEndpointChooser
import kotlin.random.Random

/** Holds what all forwarded requests share. */
internal class ForwardingParts(
    val state: FleetState,
    val calls: EndpointCalls,
    val choosers: EndpointChoosers,
    val random: Random = Random.Default,
)

/** Chooses endpoints of model services and of plain ones. */
internal class EndpointChoosers(val generations: GenerationPlacement, val services: ServiceEndpointChooser)

/** Holds what a single send needs. */
internal class EndpointCalls(
    val client: EndpointClient,
    val replicas: ReplicaCalls,
    val log: EventLog,
    val metrics: GatewayMetrics,
)
