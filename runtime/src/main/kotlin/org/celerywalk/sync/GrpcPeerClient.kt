package org.celerywalk.sync

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.MethodDescriptor
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.configuration.isAddress
import org.celerywalk.protocol.ConfigurationReply
import org.celerywalk.protocol.ConfigurationRequest
import org.celerywalk.protocol.ExchangeReply
import org.celerywalk.protocol.ExchangeRequest
import org.celerywalk.protocol.SectionVersion
import org.celerywalk.rpc.PeerMethods
import org.celerywalk.rpc.call
import org.celerywalk.rpc.toIdentity
import org.celerywalk.rpc.toMessage
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Client for peers over gRPC.
 *
 * @param onReply gets every exchange reply, for the summaries of replicas in it.
 */
internal class GrpcPeerClient(
    private val channels: PeerChannels,
    private val onReply: (ExchangeReply) -> Unit,
) : PeerClient {
    override fun exchange(
        address: String,
        query: ExchangeQuery,
    ): CompletableFuture<Either<PeerError, ExchangeResponse>> {
        val request = ExchangeRequest.newBuilder()
            .setSender(query.sender.toMessage())
            .setConfigurationVersion(query.version)
            .setWithdrawnDigest(query.withdrawnDigest)
            .setWithdrawnCount(query.withdrawnKeyIds.size)
            .addAllWithdrawnKeys(query.withdrawnKeyIds)
            .addAllStoppingAgents(query.stoppingAgents)
            .build()
        return callPeer(address, "exchange", PeerMethods.EXCHANGE, request) { reply ->
            onReply(reply)
            ExchangeResponse(
                receiver = reply.receiver.toIdentity(),
                version = reply.configurationVersion,
                withdrawnDigest = reply.withdrawnDigest,
                withdrawnKeyIds = reply.withdrawnKeysList.toSet(),
                tableAge = if (reply.hasTableAgeMillis()) reply.tableAgeMillis.milliseconds else null,
                isTableReachable = reply.tableAnswers,
                stoppingAgents = reply.stoppingAgentsList.toSet(),
            )
        }
    }

    override fun fetchSections(
        address: String,
        knownVersions: Map<Team, Long>,
    ): CompletableFuture<Either<PeerError, Pair<Long, Map<Team, SectionText>>>> {
        val versions = knownVersions.map { (team, version) ->
            SectionVersion.newBuilder().setSection(team.sectionName).setVersion(version).build()
        }
        val request = ConfigurationRequest.newBuilder().addAllHave(versions).build()
        return callPeer(address, "configuration", PeerMethods.CONFIGURATION, request) {
            it.version to it.sectionTexts()
        }
    }

    private fun <Q, A, T> callPeer(
        address: String,
        step: String,
        method: MethodDescriptor<Q, A>,
        request: Q,
        convert: (A) -> T,
    ): CompletableFuture<Either<PeerError, T>> {
        if (!isAddress(address)) {
            val error = PeerError(step, address, "address '$address' is not of the form host:port")
            return CompletableFuture.completedFuture(error.left())
        }
        return channels.to(address).call(method, request, DEADLINE).handle { reply, failure ->
            if (failure == null) convert(reply).right() else PeerError(step, address, "${failure.message}").left()
        }
    }

    private companion object {
        val DEADLINE: Duration = 1.seconds
    }
}

/** Returns the sections of the reply by team; sections with unknown names are ignored. */
internal fun ConfigurationReply.sectionTexts(): Map<Team, SectionText> = sectionsList.mapNotNull { section ->
    teamOf(section.section)?.let { it to SectionText(section.version, section.yaml) }
}.toMap()

/** Returns the team that owns the section with [sectionName], null if there is no such section. */
public fun teamOf(sectionName: String): Team? = Team.entries.find { it.sectionName == sectionName }
