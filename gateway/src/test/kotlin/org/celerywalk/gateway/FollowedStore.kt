package org.celerywalk.gateway

import okhttp3.OkHttpClient
import org.celerywalk.gateway.store.StoreEvents
import org.celerywalk.gateway.store.StoreSync
import org.celerywalk.instance.SuspendAwareTimeSource
import org.celerywalk.platform.wire.PlatformCalls
import org.celerywalk.platform.wire.PlatformTable
import java.io.OutputStream
import java.io.PrintStream

/** Store stand-in and the state of a gateway that follows it once [sync] is started. */
internal class FollowedStore : AutoCloseable {
    val store = StoreStandIn()
    val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
    val state = FleetState(testSettings(), SuspendAwareTimeSource(), { 1 }, { 1.0 })
    val table =
        PlatformTable(PlatformCalls(OkHttpClient.Builder().retryOnConnectionFailure(false).build()), store.address)
    val sync = StoreSync(state, table, log, object : StoreEvents {})

    override fun close() {
        sync.close()
        store.close()
        log.close()
    }
}
