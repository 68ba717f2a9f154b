package org.celerywalk.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory
import org.celerywalk.platform.wire.DeploymentContracts
import org.celerywalk.platform.wire.JsonTree
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Loads and validates the settings file of a gateway; all errors of a file are reported together. */
public object GatewaySettingsFile {
    /** Loads the settings at [path], or returns one error message per invalid key. */
    public fun load(path: Path): Either<List<String>, GatewaySettings> = try {
        parse(Files.readString(path))
    } catch (e: IOException) {
        listOf("$path: cannot be read: ${e.message}").left()
    }

    /** Parses the YAML [text] of a settings file, or returns one error message per invalid key. */
    public fun parse(text: String): Either<List<String>, GatewaySettings> = try {
        val reader = Reader(YAMLFactory().createParser(text).use(JsonTree::read))
        val settings = reader.settings()
        if (reader.errors.isEmpty()) settings.right() else reader.errors.left()
    } catch (e: JsonProcessingException) {
        listOf("invalid YAML: ${e.originalMessage}").left()
    }

    private class Reader(private val root: JsonNode) {
        val errors = mutableListOf<String>()

        fun settings() = GatewaySettings(
            instance = text("instance"),
            dataCentre = text("data-centre"),
            isFirstStart = root.path("first-start").asBoolean(),
            callers = address("listen.callers"),
            readiness = address("listen.readiness"),
            metrics = address("listen.metrics"),
            peerPort = number("peer-port").toInt(),
            store = address("store"),
            prefillTokensPerMillisecond = number("prefill-tokens-per-ms"),
            admitsByLoad = DeploymentContracts.askForAdmission(nodeAt("contracts").asText()),
            bounds = GatewayBounds(
                keyWithdrawal = millis("bounds.key-withdrawal-ms"),
                stopGrace = number("bounds.stop-grace-s").seconds,
                retryRatio = number("bounds.retry-ratio"),
                retryWindow = number("bounds.retry-window-s").seconds,
                retryAllowance = number("bounds.retry-allowance").toInt(),
                orderLease = millis("bounds.order-lease-ms"),
                endpointDrain = millis("bounds.endpoint-drain-ms"),
                weightsDeadline = millis("bounds.weights-deadline-ms"),
                quotaOverage = number("bounds.quota-overage"),
                rollouts = rollouts(),
            ),
        )

        // The keys are optional; any of them enables roll-outs.
        private fun rollouts(): RolloutBounds? {
            val keys = listOf("bounds.canary-share", "bounds.canary-allowance", "bounds.rollback-ms")
            if (keys.all { nodeAt(it).isMissingNode }) return null
            val (share, allowance, rollback) = keys.zip(ROLLOUT_DEFAULTS) { key, default ->
                if (nodeAt(key).isMissingNode) default else number(key)
            }
            if (share >= 1) errors += "bounds.canary-share: '$share'; expected a number below 1"
            return RolloutBounds(share, allowance.toInt(), rollback.milliseconds)
        }

        private fun nodeAt(key: String): JsonNode = key.split('.').fold(root) { node, name -> node.path(name) }

        private fun text(key: String): String {
            val value = nodeAt(key).takeIf { it.isValueNode }?.asText().orEmpty()
            if (value.isBlank()) errors += "$key: missing; expected text"
            return value
        }

        private fun number(key: String): Double {
            val value = nodeAt(key).takeIf { it.isNumber }?.asDouble()
            if (value == null || value < 0) errors += "$key: '${nodeAt(key).asText()}'; expected a number of 0 or more"
            return value ?: 0.0
        }

        private fun millis(key: String): Duration = number(key).milliseconds

        private fun address(key: String): SocketAddress {
            val value = text(key)
            val address = SocketAddress.parse(value)
            if (address == null) errors += "$key: '$value'; expected HOST:PORT"
            return address ?: SocketAddress(value, 0)
        }
    }

    private const val DEFAULT_CANARY_SHARE = 0.1
    private const val DEFAULT_ALLOWANCE = 50.0
    private const val DEFAULT_ROLLBACK_MILLIS = 5_000.0
    private val ROLLOUT_DEFAULTS = listOf(DEFAULT_CANARY_SHARE, DEFAULT_ALLOWANCE, DEFAULT_ROLLBACK_MILLIS)
}
