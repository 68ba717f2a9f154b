package org.celerywalk.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.celerywalk.configuration.Fault
import org.celerywalk.configuration.isAddress
import java.io.IOException
import java.net.URI
import java.net.URISyntaxException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val MIN_SECRET_LENGTH = 16
private const val MAX_COUNT = 1_000_000
private const val MAX_BYTES = 4 * 1024 * 1024
private val KEY_MAX_AGE_RANGE = 5.seconds..24.hours
private val TIMEOUT_RANGE = 1.milliseconds..10.minutes
private val STOP_TIMEOUT_RANGE = Duration.ZERO..60.minutes

/** Loads and validates settings files. All faults of a file are reported together. */
public object SettingsFile {
    /** Loads the settings of an entry from the YAML file at [path]. */
    public fun loadEntry(path: Path): Either<List<Fault>, EntrySettings> =
        load(path, EntrySettings::class) { settings, validator ->
            validator.checkProcess(settings.process)
            validator.checkPlatform(settings.platform)
            settings.bootstrapToken?.let { validator.checkSecret("bootstrap-token", it) }
            val limits = settings.limits
            validator.checkCount("limits.max-streams", limits.maxStreams, MAX_COUNT)
            validator.checkCount("limits.max-request-bytes", limits.maxRequestBytes, MAX_BYTES)
            validator.checkCount("limits.stream-buffer-bytes", limits.streamBufferBytes, MAX_BYTES)
            validator.checkRange("limits.endpoint-timeout", limits.endpointTimeout, TIMEOUT_RANGE)
            validator.checkRange("limits.request-timeout", limits.requestTimeout, TIMEOUT_RANGE)
        }

    /** Loads the settings of an agent from the YAML file at [path]. */
    public fun loadAgent(path: Path): Either<List<Fault>, AgentSettings> =
        load(path, AgentSettings::class) { settings, validator ->
            validator.checkProcess(settings.process)
            validator.checkPlatform(settings.platform)
            validator.checkUnique("engines", settings.engines.map { it.replica })
            validator.checkUnique("services", settings.services.map { it.service })
            settings.engines.forEachIndexed { i, engine -> validator.checkUrl("engines[$i].url", engine.url) }
            settings.services.forEachIndexed { i, service -> validator.checkUrl("services[$i].url", service.url) }
            validator.checkCount("limits.max-queued", settings.limits.maxQueued, MAX_COUNT)
            validator.checkRange("limits.engine-timeout", settings.limits.engineTimeout, TIMEOUT_RANGE)
            validator.checkRange("limits.service-timeout", settings.limits.serviceTimeout, TIMEOUT_RANGE)
        }

    private fun <T : Any> load(
        path: Path,
        type: KClass<T>,
        validate: (T, SettingsValidator) -> Unit,
    ): Either<List<Fault>, T> {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            return listOf(Fault("$path", "(file)", "${e::class.simpleName} ${e.message}", "a readable file")).left()
        }
        val reader = StrictReader("$path")
        val settings = reader.parse(text, "")?.let { reader.read(it, "", type) }
        val validator = SettingsValidator("$path", reader.faults)
        settings?.let { validate(it, validator) }
        return if (settings == null || validator.faults.isNotEmpty()) validator.faults.left() else settings.right()
    }
}

private class SettingsValidator(private val file: String, val faults: MutableList<Fault>) {
    fun checkProcess(process: ProcessSettings) {
        checkListenAddress("process.grpc", process.grpc)
        checkListenAddress("process.http", process.http)
        process.peers.forEachIndexed { i, peer ->
            if (!isAddress(peer)) addFault("process.peers[$i]", "'$peer'", "host:port with a port of 1..65535")
        }
        checkSecret("process.secret", process.secret)
        checkSecret("process.pepper", process.pepper)
        checkRange("process.key-max-age", process.keyMaxAge, KEY_MAX_AGE_RANGE)
        checkRange("process.stop-timeout", process.stopTimeout, STOP_TIMEOUT_RANGE)
        checkRange("process.leave-delay", process.leaveDelay, STOP_TIMEOUT_RANGE)
    }

    fun checkPlatform(platform: PlatformSettings) {
        checkUrl("platform.table", platform.table)
        checkUrl("platform.object-store", platform.objectStore)
        checkUrl("platform.instance-list", platform.instanceList)
        checkRange("platform.timeout", platform.timeout, TIMEOUT_RANGE)
        checkCount("platform.max-waiting", platform.maxWaiting, MAX_COUNT)
    }

    fun checkUrl(path: String, value: String) {
        val uri = try {
            URI(value)
        } catch (_: URISyntaxException) {
            null
        }
        if (uri?.scheme !in setOf("http", "https") || uri?.host == null) {
            addFault(path, "'$value'", "a URL with http or https and a host")
        }
    }

    // The fault gives only the length of the value, because faults are logged.
    fun checkSecret(path: String, value: String) {
        if (value.length < MIN_SECRET_LENGTH) {
            addFault(path, "${value.length} characters", "at least $MIN_SECRET_LENGTH characters")
        }
    }

    fun checkCount(path: String, value: Int, max: Int) {
        if (value !in 1..max) addFault(path, "$value", "1..$max")
    }

    fun checkRange(path: String, value: Duration, range: ClosedRange<Duration>) {
        if (value !in range) addFault(path, "$value", "$range")
    }

    fun checkUnique(path: String, values: List<String>) {
        values.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.forEach {
            addFault(path, "'$it' more than once", "each name once")
        }
    }

    private fun checkListenAddress(path: String, value: String) {
        // A listen address may have port 0, which selects a free port; the address of a peer may not.
        if (!isAddress(value) && !value.endsWith(":0")) addFault(path, "'$value'", "host:port with a port of 0..65535")
    }

    private fun addFault(path: String, given: String, accepted: String) {
        faults += Fault(file, path, given, accepted)
    }
}
