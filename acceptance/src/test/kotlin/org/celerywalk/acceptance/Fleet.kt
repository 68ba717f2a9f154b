package org.celerywalk.acceptance

import org.celerywalk.standins.InstanceListStandIn
import org.celerywalk.standins.ObjectStoreStandIn
import org.celerywalk.standins.WireInstance
import org.celerywalk.standins.engine.EngineSettings
import org.celerywalk.standins.engine.EngineStandIn
import org.celerywalk.standins.service.PlainServiceStandIn
import org.celerywalk.standins.table.TableStandIn
import java.nio.file.Files
import java.nio.file.Path
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** API key of the client account that the tests use. */
internal const val API_KEY = "cw_driver_bouquet-at-the-curb"
private const val SECURITY_OPERATOR_TOKEN = "token-of-the-security-team"
private const val BOOTSTRAP_TOKEN = "bootstrap-token-of-the-tests"
private const val PEPPER = "pepper-of-the-acceptance-tests"
internal const val PIECE_TOKENS = 64

/**
 * Test deployment: entries and one agent per endpoint run as separate processes, all stand-ins run in the test process.
 *
 * Every endpoint has one replica of the model `assistant` and the plain service `swaps`.
 */
internal class Fleet(endpoints: Int = 2, entries: Int = 1, speed: Double = 1.0) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("celerywalk-acceptance")
    val table = TableStandIn()
    private val objectStore = ObjectStoreStandIn()
    private val instanceList = InstanceListStandIn()
    val service = PlainServiceStandIn(name = "swap")
    val engines = List(endpoints) {
        EngineStandIn(settings = EngineSettings(model = "assistant", pieceTokens = PIECE_TOKENS, speed = speed))
    }
    val agents = List(endpoints) { Daemon(directory, "agent-$it", "agent") }
    val entries = List(entries) { Daemon(directory, "entry-$it", "entry") }
    private val agentAddresses = ArrayList<String>()

    /** Starts all processes and waits until every entry is ready and has found the agent of every endpoint. */
    fun start(): Fleet {
        agents.forEachIndexed { i, agent -> agent.start(agentYaml(i, "127.0.0.1:0")) }
        agents.forEach { it.awaitStarted() }
        agentAddresses += agents.map { it.loggedField("address") }
        entries.forEachIndexed { i, entry -> entry.start(entryYaml(i, "127.0.0.1:0", "127.0.0.1:0")) }
        entries.forEach { it.awaitStarted() }
        agents.forEachIndexed { i, agent -> registerInstance("agent-$i", "agent", agent.loggedField("address")) }
        entries.forEachIndexed { i, entry ->
            registerInstance("entry-$i", "entry", "127.0.0.1:${entry.loggedField("grpc_port")}")
        }
        val configurationFile = Files.writeString(directory.resolve("configuration.yaml"), configurationYaml())
        runOperatorCommand("config", "apply", "$configurationFile", "--based-on", "0", "--yes", token = BOOTSTRAP_TOKEN)
        entries.indices.forEach { i -> waitUntil("entry $i is ready") { caller(i).status("/health/ready") == OK } }
        engines.indices.forEach(::awaitAgentFound)
        return this
    }

    /** Returns a client of the entry with index [entry] that calls with [key]. */
    fun caller(entry: Int = 0, key: String = API_KEY) =
        Caller("http://127.0.0.1:${entries[entry].loggedField("http_port")}", key)

    fun withdrawKey() = runOperatorCommand("key", "withdraw", "driver", token = SECURITY_OPERATOR_TOKEN)

    /** Starts an entry again with the gRPC and HTTP addresses that it had before. */
    fun restartEntry(entry: Int) {
        val process = entries[entry]
        val grpc = "127.0.0.1:${process.loggedField("grpc_port")}"
        val http = "127.0.0.1:${process.loggedField("http_port")}"
        process.start(entryYaml(entry, grpc, http))
        process.awaitStarted()
    }

    override fun close() {
        (entries + agents).forEach { it.kill() }
        listOf(table, objectStore, instanceList, service).forEach { it.close() }
        engines.forEach { it.close() }
        directory.toFile().deleteRecursively()
    }

    private fun registerInstance(name: String, role: String, address: String) =
        instanceList.put(name, WireInstance(name, role, "kyushu", "fukuoka-a", address))

    private fun awaitAgentFound(endpoint: Int) = entries.forEach { entry ->
        waitUntil("the agent of endpoint-$endpoint is found", diagnostics = entry::logText) {
            "event=agent_found endpoint=endpoint-$endpoint" in entry.logText()
        }
    }

    private fun runOperatorCommand(vararg arguments: String, token: String): String {
        val tokenFile = Files.writeString(directory.resolve("token"), token)
        val address = "127.0.0.1:${entries[0].loggedField("grpc_port")}"
        return Daemon.runCommand(directory, *arguments, "--entry", address, "--token-file", "$tokenFile")
    }

    private fun processYaml(name: String, grpc: String, http: String) = """
        |process:
        |  instance: $name
        |  region: kyushu
        |  data-centre: fukuoka-a
        |  grpc: $grpc
        |  http: $http
        |  secret: secret-of-the-acceptance-tests
        |  pepper: $PEPPER
        |  leave-delay: 200ms
        |  peers: [${agentAddresses.joinToString { "\"$it\"" }}]
        |platform:
        |  table: ${table.url}
        |  object-store: ${objectStore.url}
        |  instance-list: ${instanceList.url}
    """.trimMargin()

    private fun entryYaml(entry: Int, grpc: String, http: String) =
        processYaml("entry-$entry", grpc, http) + "\nbootstrap-token: $BOOTSTRAP_TOKEN\n"

    private fun agentYaml(endpoint: Int, grpc: String) = processYaml("agent-$endpoint", grpc, "127.0.0.1:0") + """
        |
        |endpoint: endpoint-$endpoint
        |engines: [{replica: gpu-$endpoint, url: "${engines[endpoint].url}"}]
        |services: [{service: swaps, url: "${service.url}"}]
        |
    """.trimMargin()

    private fun configurationYaml() = """
        |commercial:
        |  client-accounts:
        |    - {name: kyushu, rate-tokens-per-second: 1000000, burst-tokens: 10000000}
        |security:
        |  keys:
        |    - {id: driver, client-account: kyushu, hash: "${hash(API_KEY)}"}
        |  operators:
        |    - {name: sec, team: security, token-hash: "${hash(SECURITY_OPERATOR_TOKEN)}"}
        |platform:
        |  data-centres: [{name: fukuoka-a, region: kyushu}]
        |  models: [{name: assistant, weights: "1", piece-tokens: $PIECE_TOKENS}]
        |  services: [{name: swaps, path: /services/swaps}]
        |  endpoints:
        |${agentAddresses.indices.joinToString("\n", transform = ::endpointYaml)}
        |
    """.trimMargin()

    private fun endpointYaml(i: Int) = """
        |    - name: endpoint-$i
        |      data-centre: fukuoka-a
        |      address: "${agentAddresses[i]}"
        |      replicas: [{name: gpu-$i, model: assistant}]
        |      services: [swaps]
    """.trimMargin()

    private fun hash(text: String): String = Mac.getInstance("HmacSHA256").run {
        init(SecretKeySpec(PEPPER.toByteArray(), "HmacSHA256"))
        doFinal(text.toByteArray()).joinToString("") { "%02x".format(it) }
    }

    private companion object {
        const val OK = 200
    }
}
