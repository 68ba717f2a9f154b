package org.celerywalk.shares

import org.celerywalk.account.Admission
import org.celerywalk.account.LOAN_VALIDITY
import org.celerywalk.account.LeasedAdmission
import org.celerywalk.account.LoanRequest
import org.celerywalk.account.ShareLeaseManager
import org.celerywalk.account.rate
import org.celerywalk.configuration.Configuration
import org.celerywalk.instance.ProcessIdentity
import org.celerywalk.protocol.BorrowReply
import org.celerywalk.protocol.BorrowRequest
import org.celerywalk.sync.ConfigurationSource
import org.celerywalk.sync.Lender
import org.celerywalk.sync.PeerChannels
import org.celerywalk.table.Table
import org.tinylog.kotlin.Logger
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs the rate limits of an entry: keeps its share of all rates, borrows from other entries and lends to them.
 *
 * ```
 * val shares = RateShares(identity, table, secret, sync) { sync.synchroniser.entryAddresses() }
 * shares.start()
 * ```
 *
 * @param entries gives the gRPC addresses of the other entries.
 */
public class RateShares(
    identity: ProcessIdentity,
    table: Table,
    secret: String,
    private val configuration: ConfigurationSource,
    entries: () -> List<String>,
) : Lender, AutoCloseable {
    private val duty = ScheduledThreadPoolExecutor(1) { Thread(it, "rate-shares").apply { isDaemon = true } }
        .apply { executeExistingDelayedTasksAfterShutdownPolicy = false }
    private val channels = PeerChannels(secret)
    private val left = CompletableFuture<Unit>()

    // The address belongs to the name: only a process that has bound the same address takes over the share of another.
    private val keeper = ShareLeaseManager(
        "${identity.instance}@${identity.address}",
        identity.incarnation,
        table,
        TimeSource.Monotonic,
    )
    private val leased = LeasedAdmission(
        keeper::weight,
        GrpcLending(channels, Random.Default, entries),
        { duration -> after(duration) },
        TimeSource.Monotonic,
        { UUID.randomUUID().toString() },
    )

    /** Admits requests within the rates of the configuration. */
    public val admission: Admission get() = leased

    /** Fraction of all rates that this process may use now. */
    public val weight: Double get() = keeper.weight

    /** Starts to obtain the share. */
    public fun start() {
        configuration.current()?.let(::adopt)
        configuration.onChange(::adopt)
        duty.execute(::step)
    }

    override fun lend(request: BorrowRequest): CompletableFuture<BorrowReply> {
        val asked = LoanRequest(request.loanId, request.clientAccount, request.tokens, request.closedLoansList.toList())
        val grant = leased.lend(asked)
        val reply = BorrowReply.newBuilder()
            .setLoanId(grant.loanId)
            .setTokens(grant.tokens)
            .setValidMillis(LOAN_VALIDITY.inWholeMilliseconds)
        return CompletableFuture.completedFuture(reply.build())
    }

    /** Gives the share up; call it when the last request has ended. Takes some seconds if tokens were lent. */
    override fun close() {
        keeper.leave()
        try {
            left.get(LEAVE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            Logger.warn("event=share_not_given_up step=leave peer=table detail=\"others free it when its lease ends\"")
        }
        duty.shutdownNow()
        channels.close()
    }

    private fun adopt(configuration: Configuration) {
        leased.setRates(configuration.commercial.clientAccounts.associate { it.name to it.rate })
    }

    private fun step() {
        keeper.step(leased::minimumWeight).whenComplete { _, failure ->
            if (failure != null) Logger.error(failure, "event=share_step_failed")
            leased.applyWeight()
            if (keeper.hasReleasedShare) left.complete(Unit)
            if (!duty.isShutdown) duty.schedule(::step, pause().inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    // A random part keeps entries that started together from changing the record at the same moment.
    private fun pause() = SHORTEST_PAUSE + RANDOM_PAUSE * Random.nextDouble()

    private fun after(duration: Duration): CompletableFuture<Unit> {
        val done = CompletableFuture<Unit>()
        duty.schedule({ done.complete(Unit) }, duration.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
        return done
    }

    private companion object {
        val SHORTEST_PAUSE = 500.milliseconds
        val RANDOM_PAUSE = 500.milliseconds
        val LEAVE_TIMEOUT = 8.seconds
    }
}
