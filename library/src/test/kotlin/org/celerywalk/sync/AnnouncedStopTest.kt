package org.celerywalk.sync

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.celerywalk.configuration.SnapshotStore
import org.celerywalk.configuration.Team
import org.celerywalk.configuration.TestCodec
import org.celerywalk.endpoint.agentStart
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.instance.Role
import org.celerywalk.key.WithdrawnKeys
import org.celerywalk.key.WithdrawnKeysFreshness
import org.celerywalk.platform.InstanceList
import org.celerywalk.platform.ListedInstance
import org.celerywalk.simulation.Simulation
import org.celerywalk.table.FakeTable
import org.celerywalk.table.FakeTableFault
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Pattern: one of many agents stops while the table is away and a fifth of all messages is lost. */
class AnnouncedStopTest {
    @Test
    fun `all entries of a large fleet know within 5 s that an agent stops`() {
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULE_COUNT), Arb.long()) { seed ->
                val fleet = StoppingFleet(seed)
                fleet.simulation.run(STOP_MILLIS)
                assertEquals(0, fleet.informedEntryCount())
                fleet.stopAgent()
                fleet.simulation.run(STOP_MILLIS + DEADLINE_MILLIS)
                assertEquals(ENTRY_COUNT, fleet.informedEntryCount(), "seed $seed")
            }
        }
    }

    private class StoppingFleet(seed: Long) {
        val simulation = Simulation(seed)
        private val identities = (0..ENTRY_COUNT).map {
            ProcessIdentity("p$it", "i$it", if (it == 0) Role.AGENT else Role.ENTRY, "r", "d", "p$it:1")
        }
        private val contexts = identities.associate { it.address to createContext(it) }
        private val synchronisers = contexts.mapValues { Synchroniser(it.value) }

        init {
            synchronisers.values.forEach { sync ->
                listOf(sync::readInstanceList, sync::exchangeWithPeers).forEach { repeatRound(it) }
            }
        }

        fun stopAgent() = synchronisers.getValue(identities.first().address).announceStop()

        fun informedEntryCount() = identities.drop(1).count {
            contexts.getValue(it.address).endpointNotices.isLeaving(agentStart(identities.first().incarnation))
        }

        private fun repeatRound(round: () -> Duration) {
            simulation.schedule(round().inWholeMilliseconds) { repeatRound(round) }
        }

        private fun createContext(identity: ProcessIdentity) = SyncContext(
            identity = { identity },
            table = FakeTable { FakeTableFault.DOWN },
            instances = FullInstanceList(),
            snapshots = SnapshotStore(InMemoryObjectStore(HashMap())),
            peers = LossyPeerClient(),
            codec = TestCodec,
            freshness = WithdrawnKeysFreshness(2.hours),
            withdrawnKeys = WithdrawnKeys(),
            settingsPeers = emptyList(),
            time = simulation.timeSource,
            random = simulation.random,
            executor = { simulation.schedule(0) { it.run() } },
            wallClock = { simulation.nowMillis },
            report = {},
        )

        private inner class FullInstanceList : InstanceList {
            override fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>> =
                CompletableFuture.completedFuture(
                    identities.map { ListedInstance(it.instance, it.role.name, "r", "d", it.address, false) }.right(),
                )
        }

        private inner class LossyPeerClient : PeerClient {
            override fun exchange(address: String, query: ExchangeQuery) =
                deliver(address) { it.answerExchange(query) }

            override fun fetchSections(address: String, knownVersions: Map<Team, Long>) =
                deliver(address) { it.newerSections(knownVersions) }

            private fun <T> deliver(
                address: String,
                body: (Synchroniser) -> T,
            ): CompletableFuture<Either<PeerError, T>> {
                val answer = CompletableFuture<Either<PeerError, T>>()
                simulation.schedule(TIMEOUT_MILLIS) { answer.complete(PeerError("call", address, "lost").left()) }
                if (!simulation.randomBoolean(LOSS_PERCENT)) {
                    simulation.schedule(simulation.randomDelayMillis(MAX_DELAY_MILLIS)) {
                        answer.complete(body(synchronisers.getValue(address)).right())
                    }
                }
                return answer
            }
        }
    }

    private companion object {
        const val SEED = 357L
        const val SCHEDULE_COUNT = 40
        const val ENTRY_COUNT = 33
        const val STOP_MILLIS = 15_000L
        const val DEADLINE_MILLIS = 5_000L
        const val TIMEOUT_MILLIS = 1_000L
        const val MAX_DELAY_MILLIS = 400L
        const val LOSS_PERCENT = 20
    }
}
