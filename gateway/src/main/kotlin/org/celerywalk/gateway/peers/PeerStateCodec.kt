package org.celerywalk.gateway.peers

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.celerywalk.platform.wire.JsonTree
import kotlin.time.Duration.Companion.milliseconds

/** Encodes the messages between gateways as JSON. Missing fields have their default value. */
internal object PeerStateCodec {
    private const val NAME = "name"
    private const val NUMBER = "number"
    private const val PARTIAL = "partial"
    private const val HEARD = "heard"
    private const val CONFIGURATION = "configuration"
    private const val CHECKSUM = "checksum"
    private const val CONFIRMED = "confirmed"
    private const val QUOTAS = "quotas"
    private const val WORK = "work"
    private const val VERSIONS = "versions"
    private const val CHANGING = "changing"
    private const val EJECTED = "ejected"
    private const val PLACED = "placed"
    private const val LEAVING = "leaving"
    private const val LEASE = "lease"
    private const val WEIGHT_AGES = "weight-ages"
    private const val CACHES = "caches"
    private const val SUSPECTS = "suspects"
    private const val ROLLOUTS = "rollouts"
    private const val PLACEMENT_FIELDS = 3

    fun encode(state: PeerState): ByteArray {
        val root = JsonTree.objectNode().put(NAME, state.sender).put(NUMBER, state.number)
        if (!state.isComplete) root.put(PARTIAL, true)
        root.putEach(HEARD, state.lastNumbers) { peer, number -> put(peer, number) }
        state.configuration?.let { root.put(CONFIGURATION, it) }
        state.configurationChecksum?.let { root.put(CHECKSUM, it) }
        // Rounded up, so that a confirmation never looks younger than it is.
        state.confirmationAge?.let { root.put(CONFIRMED, it.inWholeMilliseconds + 1) }
        root.putEach(QUOTAS, state.quotas) { account, total -> put(account, total) }
        root.putEach(WORK, state.work) { endpoint, work -> PeerWorkCodec.encode(work, putArray(endpoint)) }
        root.putEach(VERSIONS, state.versions) { endpoint, versions ->
            putObject(endpoint).also { versions.forEach { (model, version) -> it.put(model, version) } }
        }
        root.putNames(CHANGING, state.changingEndpoints)
        root.putNames(EJECTED, state.ejectedEndpoints)
        root.putEach(WEIGHT_AGES, state.weightAges) { model, ages ->
            putObject(model).also { ages.forEach { (version, age) -> it.put("$version", age.inWholeMilliseconds) } }
        }
        root.putPlacements(state.placements)
        root.putEach(CACHES, state.cacheEvents) { holder, events -> CacheEventsCodec.encode(events, putArray(holder)) }
        root.putEach(SUSPECTS, state.suspectParts) { part, evidence ->
            PartEvidenceCodec.encode(evidence, putObject(part))
        }
        if (state.leavingEndpoints.isNotEmpty()) {
            root.putArray(LEAVING).let { array ->
                state.leavingEndpoints.forEach { EndpointStartCodec.encode(it, array.addArray()) }
            }
        }
        root.putEach(ROLLOUTS, state.rollouts) { service, report ->
            RolloutReportCodec.encode(report, putObject(service))
        }
        if (state.holdsLease) root.put(LEASE, true)
        return JsonTree.encode(root)
    }

    /**
     * Decodes the first [length] bytes of [bytes], or returns null if the message names no sender.
     *
     * @throws com.fasterxml.jackson.core.JsonProcessingException if the bytes are not valid JSON.
     */
    fun decode(bytes: ByteArray, length: Int): PeerState? {
        val root = JsonTree.parse(bytes, length)
        if (!root.path(NAME).isTextual) return null
        return PeerState(
            sender = root.path(NAME).asText(),
            number = root.path(NUMBER).asLong(),
            isComplete = !root.path(PARTIAL).asBoolean(),
            lastNumbers = root.path(HEARD).toMap { it.asLong() },
            configuration = root.get(CONFIGURATION)?.asLong(),
            configurationChecksum = root.get(CHECKSUM)?.asLong(),
            confirmationAge = root.path(CONFIRMED).takeIf { it.isIntegralNumber }?.asLong()?.milliseconds,
            quotas = root.path(QUOTAS).toMap { it.asLong() },
            work = root.path(WORK).toMap(PeerWorkCodec::decode),
            versions = root.path(VERSIONS).toMap { models -> models.toMap { it.asInt() } },
            changingEndpoints = root.path(CHANGING).toNames(),
            ejectedEndpoints = root.path(EJECTED).toNames(),
            weightAges = root.path(WEIGHT_AGES).toMap(::decodeAges),
            placements = root.path(PLACED).mapNotNull(::decodePlacement),
            cacheEvents = root.path(CACHES).toMap(CacheEventsCodec::decode),
            suspectParts = root.path(SUSPECTS).toMap(PartEvidenceCodec::decode),
            leavingEndpoints = root.path(LEAVING).mapNotNull(EndpointStartCodec::decode).toSet(),
            holdsLease = root.path(LEASE).asBoolean(),
            rollouts = root.path(ROLLOUTS).properties().mapNotNull { (service, report) ->
                RolloutReportCodec.decode(service, report)?.let { service to it }
            }.toMap(),
        )
    }

    private fun decodeAges(ages: JsonNode) = ages.properties()
        .mapNotNull { (version, age) -> version.toIntOrNull()?.let { it to age.asLong().milliseconds } }.toMap()

    private fun decodePlacement(node: JsonNode): PeerPlacement? {
        if (node.size() != PLACEMENT_FIELDS) return null
        val (holder, scope, partIds) = node.map { it.asText() }
        return PeerPlacement(holder, scope, partIds.split(','))
    }

    private fun <V> ObjectNode.putEach(name: String, values: Map<String, V>, put: ObjectNode.(String, V) -> Unit) {
        if (values.isNotEmpty()) putObject(name).let { values.forEach { (key, value) -> it.put(key, value) } }
    }

    private fun ObjectNode.putNames(name: String, names: Set<String>) {
        if (names.isNotEmpty()) putArray(name).let { names.forEach(it::add) }
    }

    private fun ObjectNode.putPlacements(placements: List<PeerPlacement>) {
        if (placements.isEmpty()) return
        val array = putArray(PLACED)
        placements.forEach { array.addArray().add(it.holder).add(it.scope).add(it.partIds.joinToString(",")) }
    }

    private fun <V> JsonNode.toMap(decode: (JsonNode) -> V): Map<String, V> =
        properties().associate { (key, value) -> key to decode(value) }

    private fun JsonNode.toNames(): Set<String> = map { it.asText() }.toSet()
}
