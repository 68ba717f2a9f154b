package org.celerywalk.sync

import io.grpc.ServerServiceDefinition
import io.grpc.stub.ServerCalls
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.protocol.BorrowReply
import org.celerywalk.protocol.BorrowRequest
import org.celerywalk.protocol.ConfigurationReply
import org.celerywalk.protocol.ConfigurationRequest
import org.celerywalk.protocol.ConfigurationSection
import org.celerywalk.protocol.ExchangeReply
import org.celerywalk.protocol.ExchangeRequest
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.rpc.PeerMethods
import org.celerywalk.rpc.toIdentity
import org.celerywalk.rpc.toMessage
import org.celerywalk.rpc.unaryHandler
import java.util.concurrent.CompletableFuture

/** Lends rate-limit tokens to other entries. */
public fun interface Lender {
    /** Answers a request for a loan; a reply with 0 tokens refuses it. */
    public fun lend(request: BorrowRequest): CompletableFuture<BorrowReply>
}

/**
 * gRPC service for the other processes of the system.
 *
 * @param replicas returns the summaries of the replicas of this agent; an empty list for an entry.
 */
public class PeerService(
    private val sync: ConfigurationSync,
    private val withdrawals: KeyWithdrawalService,
    private val lender: Lender,
    private val replicas: () -> List<ReplicaSummary> = { emptyList() },
) {
    /** Returns the gRPC service definition. */
    public fun definition(): ServerServiceDefinition = ServerServiceDefinition.builder(PeerMethods.SERVICE)
        .addMethod(PeerMethods.EXCHANGE, ServerCalls.asyncUnaryCall(unaryHandler(::exchange)))
        .addMethod(PeerMethods.CONFIGURATION, ServerCalls.asyncUnaryCall(unaryHandler(::configuration)))
        .addMethod(PeerMethods.BORROW, ServerCalls.asyncUnaryCall(unaryHandler(lender::lend)))
        .addMethod(PeerMethods.WITHDRAW_KEY, ServerCalls.asyncUnaryCall(unaryHandler(withdrawals::withdraw)))
        .build()

    private fun exchange(request: ExchangeRequest): CompletableFuture<ExchangeReply> {
        val response = sync.synchroniser.answerExchange(
            ExchangeQuery(
                sender = request.sender.toIdentity(),
                version = request.configurationVersion,
                withdrawnDigest = request.withdrawnDigest,
                withdrawnKeyIds = request.withdrawnKeysList.toSet(),
                stoppingAgents = request.stoppingAgentsList.toSet(),
            ),
        )
        val reply = ExchangeReply.newBuilder()
            .setReceiver(response.receiver.toMessage())
            .setConfigurationVersion(response.version)
            .setWithdrawnDigest(response.withdrawnDigest)
            .addAllWithdrawnKeys(response.withdrawnKeyIds)
            .setTableAnswers(response.isTableReachable)
            .addAllReplicas(replicas())
            .addAllStoppingAgents(response.stoppingAgents)
        response.tableAge?.let { reply.setTableAgeMillis(it.inWholeMilliseconds + 1) }
        return CompletableFuture.completedFuture(reply.build())
    }

    private fun configuration(request: ConfigurationRequest): CompletableFuture<ConfigurationReply> {
        val knownVersions = request.haveList
            .mapNotNull { entry -> teamOf(entry.section)?.let { it to entry.version } }
            .toMap()
        val (version, sections) = sync.synchroniser.newerSections(knownVersions)
        return CompletableFuture.completedFuture(replyOf(version, sections))
    }
}

/** Builds a reply with the configuration version and the given sections. */
internal fun replyOf(
    version: Long,
    sections: Map<Team, SectionText>,
): ConfigurationReply = ConfigurationReply.newBuilder()
    .setVersion(version)
    .addAllSections(
        sections.map { (team, text) ->
            ConfigurationSection.newBuilder()
                .setSection(team.sectionName)
                .setVersion(text.version)
                .setYaml(text.yaml)
                .build()
        },
    )
    .build()
