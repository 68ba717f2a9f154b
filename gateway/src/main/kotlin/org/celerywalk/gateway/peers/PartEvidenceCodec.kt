package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.quarantine.PartEvidence
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Encodes the evidence about a prompt part as a JSON object with ages in milliseconds. */
internal object PartEvidenceCodec {
    private const val CRASHES = "crashes"
    private const val ANSWERED = "answered"
    private const val TRIED = "tried"

    fun encode(evidence: PartEvidence, target: ObjectNode) {
        val crashes = target.putObject(CRASHES)
        evidence.crashAges.forEach { (endpointStart, age) -> crashes.put(endpointStart, age.inWholeMilliseconds) }
        evidence.answerAge?.let { target.put(ANSWERED, it.inWholeMilliseconds) }
        evidence.trialAge?.let { target.put(TRIED, it.inWholeMilliseconds) }
    }

    /** Decodes [node]; fields that are missing or not whole numbers are left out. */
    fun decode(node: JsonNode): PartEvidence = PartEvidence(
        crashAges = node.path(CRASHES).properties()
            .mapNotNull { (endpointStart, age) -> decodeAge(age)?.let { endpointStart to it } }.toMap(),
        answerAge = decodeAge(node.path(ANSWERED)),
        trialAge = decodeAge(node.path(TRIED)),
    )

    private fun decodeAge(node: JsonNode): Duration? = node.takeIf { it.isIntegralNumber }?.asLong()?.milliseconds
}
