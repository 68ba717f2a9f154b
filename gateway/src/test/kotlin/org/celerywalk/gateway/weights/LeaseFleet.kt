package org.celerywalk.gateway.weights

import okhttp3.OkHttpClient
import org.celerywalk.gateway.EventLog
import org.celerywalk.gateway.StoreStandIn
import org.celerywalk.gateway.testSettings
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import org.celerywalk.table.StoreEra
import java.io.OutputStream
import java.io.PrintStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Lease managers of the gateways [instances] with one store and one clock, and the history of granted tokens. */
internal class LeaseFleet(private val instances: List<String>) : AutoCloseable {
    /** Fencing token that a gateway was granted for an order, [at] the time since the start. */
    data class Grant(val at: Duration, val instance: String, val fencingToken: Long)

    val time = TestTimeSource()
    val store = StoreStandIn(time)
    private val startedAt = time.markNow()
    private val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()), { 0L.also { onLogLine() } })
    private val calls = PlatformCalls(OkHttpClient.Builder().retryOnConnectionFailure(false).build())
    private val tables = HashMap<String, PlatformTable>()
    private val managers = HashMap<String, OrderLeaseManager>()
    private val grants = ArrayList<Grant>()

    /** Runs before each line that a manager logs, such as after it has won the lease. */
    var onLogLine: () -> Unit = {}

    init {
        instances.forEach(::restart)
    }

    /** Time since the start. */
    val now: Duration get() = startedAt.elapsedNow()

    /** Number of granted tokens. */
    val grantCount: Int get() = grants.size

    /** Starts the process of [instance] anew, which keeps nothing. */
    fun restart(instance: String) {
        val settings = testSettings().copy(instance = instance)
        val table = PlatformTable(calls, store.address, StoreEra(time))
        tables[instance] = table
        managers[instance] = OrderLeaseManager(settings, table, time, log)
    }

    /** Lets another task of [instance] call the store, which tells it the era. */
    fun callStore(instance: String) {
        tables.getValue(instance).read("servers", CALL_TIMEOUT)
    }

    /** Lets [instance] ask for a fencing token; returns it, or null if the instance may not send orders. */
    fun request(instance: String): Long? = managers.getValue(instance).confirmedFencingToken()
        ?.also { grants += Grant(now, instance, it) }

    /** Lets [instance] ask for a fencing token until it is granted one. */
    fun requestUntilGranted(instance: String) {
        val deadline = now + MAX_TAKEOVER_TIME
        while (request(instance) == null) {
            check(now < deadline) { "$instance was granted no fencing token within $MAX_TAKEOVER_TIME" }
            time += REQUEST_INTERVAL
        }
    }

    /** Returns the grants that break the rules for orders, in words; [minGap] is the time between two holders. */
    fun violations(minGap: Duration): List<String> {
        val shared = grants.groupBy { it.fencingToken }.filterValues { it.distinctBy(Grant::instance).size > 1 }
            .map { (token, holders) -> "token $token was granted to ${holders.map(Grant::instance).distinct()}" }
        val inOrder = grants.zipWithNext()
        val decreased = inOrder.filter { (earlier, later) -> later.fencingToken < earlier.fencingToken }
            .map { (earlier, later) -> "$later after a higher token: $earlier" }
        val close = inOrder
            .filter { (earlier, later) -> later.instance != earlier.instance && later.at - earlier.at < minGap }
            .map { (earlier, later) -> "$later is within $minGap of $earlier" }
        return shared + decreased + close
    }

    override fun close() {
        store.close()
        log.close()
    }

    private companion object {
        val REQUEST_INTERVAL = 100.milliseconds
        val CALL_TIMEOUT = 1.seconds
        val MAX_TAKEOVER_TIME = 20.seconds
    }
}
