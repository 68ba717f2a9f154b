package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.platform.wire.RolloutDocument
import org.celerywalk.rollout.ArmEvidence
import org.celerywalk.rollout.OrderId
import org.celerywalk.rollout.RolloutOrder
import org.celerywalk.rollout.RolloutReport
import org.celerywalk.rollout.RouteEvidence
import kotlin.time.Duration.Companion.milliseconds

/** Encodes what a gateway reports about a roll-out as a JSON object, with an array of six counts for each route. */
internal object RolloutReportCodec {
    private const val ERA = "era"
    private const val ROW_VERSION = "row"
    private const val TO = "to"
    private const val DURATION = "ms"
    private const val PHASE = "phase"
    private const val BAD = "bad"
    private const val DRAINED = "drained"
    private const val EPOCH = "epoch"
    private const val ROUTES = "routes"
    private const val FIELDS_PER_ARM = 3

    fun encode(report: RolloutReport, target: ObjectNode) {
        val order = report.order
        target.put(ERA, order.id.era).put(ROW_VERSION, order.id.rowVersion).put(TO, order.version)
            .put(DURATION, order.duration.inWholeMilliseconds).put(EPOCH, report.epoch)
            .put(PHASE, RolloutDocument.phaseName(report.phase))
        if (report.isBad) target.put(BAD, true)
        if (report.isDrained) target.put(DRAINED, true)
        val routes = target.putObject(ROUTES)
        report.evidence.forEach { (route, evidence) ->
            val counts = routes.putArray(route)
            listOf(evidence.old, evidence.new).forEach { counts.add(it.responses).add(it.failures).add(it.slow) }
        }
    }

    /** Decodes the report on [service], or returns null if it names no version or an unknown phase. */
    fun decode(service: String, node: JsonNode): RolloutReport? {
        val phase = RolloutDocument.decodePhase(node.path(PHASE).asText())
        if (phase == null || !node.path(TO).isTextual) return null
        val id = OrderId(node.path(ERA).asLong(), node.path(ROW_VERSION).asLong())
        return RolloutReport(
            RolloutOrder(service, node.path(TO).asText(), node.path(DURATION).asLong().milliseconds, id),
            phase,
            node.path(BAD).asBoolean(),
            node.path(DRAINED).asBoolean(),
            node.path(EPOCH).asLong(),
            node.path(ROUTES).properties().associate { (route, counts) -> route to decodeCounts(counts) },
        )
    }

    private fun decodeCounts(counts: JsonNode) = RouteEvidence(decodeArm(counts, 0), decodeArm(counts, FIELDS_PER_ARM))

    private fun decodeArm(counts: JsonNode, start: Int): ArmEvidence {
        val responses = counts.path(start).asLong().coerceAtLeast(0)
        val (failures, slow) = listOf(1, 2).map { counts.path(start + it).asLong().coerceIn(0, responses) }
        return ArmEvidence(responses, failures, slow)
    }
}
