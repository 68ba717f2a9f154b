package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.quarantine.CrashAges
import org.celerywalk.quarantine.PartEvidence
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Encodes the evidence about a prompt part as a JSON object with ages in milliseconds.
 *
 * A crash is an array of the ages of its loss and of the endpoint's last sign of life; an older gateway sends only the
 * first one, as a number.
 */
internal object PartEvidenceCodec {
    private const val CRASHES = "crashes"
    private const val ANSWERED = "answered"
    private const val ANSWERING = "answering"
    private const val TRIED = "tried"

    fun encode(evidence: PartEvidence, target: ObjectNode) {
        val crashes = target.putObject(CRASHES)
        evidence.crashes.forEach { (endpointStart, ages) ->
            crashes.putArray(endpointStart)
                .add(ages.sinceLoss.inWholeMilliseconds).add(ages.sinceAlive.inWholeMilliseconds)
        }
        evidence.answerAge?.let { target.put(ANSWERED, it.inWholeMilliseconds) }
        if (evidence.unprovenAnswerAges.isNotEmpty()) {
            val answering = target.putObject(ANSWERING)
            evidence.unprovenAnswerAges.forEach { (start, age) -> answering.put(start, age.inWholeMilliseconds) }
        }
        evidence.trialAge?.let { target.put(TRIED, it.inWholeMilliseconds) }
    }

    /** Decodes [node]; fields that are missing or not whole numbers are left out. */
    fun decode(node: JsonNode): PartEvidence = PartEvidence(
        crashes = node.path(CRASHES).toMap(::decodeCrash),
        answerAge = decodeAge(node.path(ANSWERED)),
        unprovenAnswerAges = node.path(ANSWERING).toMap(::decodeAge),
        trialAge = decodeAge(node.path(TRIED)),
    )

    private fun <V : Any> JsonNode.toMap(decode: (JsonNode) -> V?): Map<String, V> =
        properties().mapNotNull { (key, value) -> decode(value)?.let { key to it } }.toMap()

    private fun decodeCrash(node: JsonNode): CrashAges? =
        decodeAge(if (node.isArray) node.path(0) else node)?.let { sinceLoss ->
            CrashAges(sinceLoss, decodeAge(node.path(1)) ?: sinceLoss)
        }

    private fun decodeAge(node: JsonNode): Duration? = node.takeIf { it.isIntegralNumber }?.asLong()?.milliseconds
}
