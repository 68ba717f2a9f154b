package org.celerywalk.cli

import arrow.core.Either
import arrow.core.right
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.key.KeyHasher
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ListedInstance
import org.celerywalk.platform.ObjectStore
import org.celerywalk.protocol.BorrowReply
import org.celerywalk.sync.ConfigurationSync
import org.celerywalk.sync.KeyWithdrawalService
import org.celerywalk.sync.OperatorAuthenticator
import org.celerywalk.sync.OperatorService
import org.celerywalk.sync.PeerService
import org.celerywalk.sync.SyncSettings
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import org.celerywalk.table.Transaction
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap

/** Serves the gRPC services of an entry on a free local port, in the process of the test. */
class TestEntry(table: Table, peers: List<String> = emptyList(), instance: String = "entry-1") : AutoCloseable {
    private val synchronizedTable = SynchronizedTable(table)
    private val identity: () -> ProcessIdentity = {
        ProcessIdentity(instance, "incarnation-$instance", Role.ENTRY, "kyushu", "fukuoka-a", address)
    }
    val sync = ConfigurationSync(
        SyncSettings(SECRET, peers),
        identity,
        synchronizedTable,
        InMemoryObjectStore(),
        EmptyInstanceList,
    )
    private val operators = OperatorAuthenticator(HASHER::hashHex, BOOTSTRAP_TOKEN)
    private val withdrawals = KeyWithdrawalService(sync, operators, synchronizedTable)
    private val server: Server = NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", 0))
        .addService(OperatorService(sync, operators, synchronizedTable, withdrawals).definition())
        .addService(
            PeerService(sync, withdrawals, {
                CompletableFuture.completedFuture(BorrowReply.getDefaultInstance())
            }).definition(),
        )
        .build()
        .start()
    val address: String get() = "127.0.0.1:${server.port}"

    init {
        sync.start()
    }

    override fun close() {
        sync.close()
        server.shutdownNow()
    }

    companion object {
        const val SECRET = "secret-secret-secret"
        const val PEPPER = "pepper-pepper-pepper"
        const val BOOTSTRAP_TOKEN = "bootstrap-bootstrap"
        val HASHER = KeyHasher(PEPPER)
    }
}

/** Serialises the calls of the server's threads, because the fake table of the tests is not thread-safe. */
private class SynchronizedTable(private val table: Table) : Table {
    override fun read(keys: Set<String>) = synchronized(this) { table.read(keys) }

    override fun scan(prefix: String, after: String, limit: Int) =
        synchronized(this) { table.scan(prefix, after, limit) }

    override fun transact(transaction: Transaction) = synchronized(this) { table.transact(transaction) }
}

private class InMemoryObjectStore : ObjectStore {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    override fun get(name: String): CompletableFuture<Either<TableError, ByteArray?>> =
        CompletableFuture.completedFuture(objects[name].right())

    override fun put(name: String, content: ByteArray): CompletableFuture<Either<TableError, Unit>> {
        objects[name] = content
        return CompletableFuture.completedFuture(Unit.right())
    }
}

private object EmptyInstanceList : InstanceList {
    override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
        CompletableFuture.completedFuture(emptyList<ListedInstance>().right())
}
