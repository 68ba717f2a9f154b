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
 * Enforces the rate limits of an entry: leases a share of all rates from the table, and borrows tokens from and lends
 * tokens to other entries.
 *
 * ```
 * val shares = RateShares(identity, table, secret, sync) { sync.synchroniser.entryAddresses() }
 * shares.start()
 * ```
 *
 * @param entries returns the gRPC addresses of the other entries.
 */
public class RateShares(
    identity: ProcessIdentity,
    table: Table,
    secret: String,
    private val configuration: ConfigurationSource,
    entries: () -> List<String>,
) : Lender, AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "rate-shares").apply { isDaemon = true } }
        .apply { executeExistingDelayedTasksAfterShutdownPolicy = false }
    private val channels = PeerChannels(secret)
    private val shareReleased = CompletableFuture<Unit>()

    // The lease holder includes the address, so that only a process bound to the same address takes over the share.
    private val leaseManager = ShareLeaseManager(
        "${identity.instance}@${identity.address}",
        identity.incarnation,
        table,
        TimeSource.Monotonic,
    )
    private val leasedAdmission = LeasedAdmission(
        leaseManager::weight,
        GrpcPeerLending(channels, Random.Default, entries),
        { duration -> completeAfter(duration) },
        TimeSource.Monotonic,
        { UUID.randomUUID().toString() },
    )

    /** Admits requests within the rates of the configuration. */
    public val admission: Admission get() = leasedAdmission

    /** Fraction of all rates that this process may use now, from 0 to 1. */
    public val weight: Double get() = leaseManager.weight

    /** Applies the rates of the configuration and starts to lease a share of them. */
    public fun start() {
        configuration.current()?.let(::updateRates)
        configuration.onChange(::updateRates)
        executor.execute(::renew)
    }

    override fun lend(request: BorrowRequest): CompletableFuture<BorrowReply> {
        val loanRequest = LoanRequest(
            request.loanId,
            request.clientAccount,
            request.tokens,
            request.closedLoansList.toList(),
        )
        val grant = leasedAdmission.lend(loanRequest)
        val reply = BorrowReply.newBuilder()
            .setLoanId(grant.loanId)
            .setTokens(grant.tokens)
            .setValidMillis(LOAN_VALIDITY.inWholeMilliseconds)
        return CompletableFuture.completedFuture(reply.build())
    }

    /** Releases the share; call it after the last request has ended. Blocks for some seconds if tokens were lent. */
    override fun close() {
        leaseManager.leave()
        try {
            shareReleased.get(RELEASE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            Logger.warn("event=share_not_given_up step=leave peer=table detail=\"released when its lease expires\"")
        }
        executor.shutdownNow()
        channels.close()
    }

    private fun updateRates(configuration: Configuration) {
        leasedAdmission.setRates(configuration.commercial.clientAccounts.associate { it.name to it.rate })
    }

    private fun renew() {
        leaseManager.updateLease(leasedAdmission::minimumWeight).whenComplete { _, failure ->
            if (failure != null) Logger.error(failure, "event=share_step_failed")
            leasedAdmission.applyWeight()
            if (leaseManager.hasReleasedShare) shareReleased.complete(Unit)
            if (!executor.isShutdown) executor.schedule(::renew, nextDelay().inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    // Jitter keeps entries that started together from writing the lease record at the same moment.
    private fun nextDelay() = MIN_RENEWAL_DELAY + RENEWAL_JITTER * Random.nextDouble()

    private fun completeAfter(duration: Duration): CompletableFuture<Unit> {
        val future = CompletableFuture<Unit>()
        executor.schedule({ future.complete(Unit) }, duration.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
        return future
    }

    private companion object {
        val MIN_RENEWAL_DELAY = 500.milliseconds
        val RENEWAL_JITTER = 500.milliseconds
        val RELEASE_TIMEOUT = 8.seconds
    }
}
