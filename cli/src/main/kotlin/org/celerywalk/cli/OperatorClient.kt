package org.celerywalk.cli

import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusRuntimeException
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.Team
import org.celerywalk.protocol.ApplyReply
import org.celerywalk.protocol.ApplyRequest
import org.celerywalk.protocol.ConfigurationSection
import org.celerywalk.protocol.EndpointListReply
import org.celerywalk.protocol.EndpointListRequest
import org.celerywalk.protocol.HistoryReply
import org.celerywalk.protocol.HistoryRequest
import org.celerywalk.protocol.ShowRequest
import org.celerywalk.protocol.WithdrawKeyReply
import org.celerywalk.protocol.WithdrawKeyRequest
import org.celerywalk.rpc.OperatorMethods
import org.celerywalk.rpc.call
import org.celerywalk.rpc.openChannel
import org.celerywalk.sync.teamOf
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import kotlin.time.Duration.Companion.seconds

/** Client of the gRPC service `Operator` of one entry. A failed call throws the error that ends the command. */
internal class OperatorClient(private val address: String, private val token: String) : AutoCloseable {
    // The Operator service checks only the operator token, so that operators need no shared secret.
    private val channel = openChannel(address, "")

    fun show(): Document {
        val reply = callBlocking(OperatorMethods.SHOW, ShowRequest.newBuilder().setOperatorToken(token).build())
        val sections = reply.sectionsList.mapNotNull { section ->
            teamOf(section.section)?.let { it to SectionText(section.version, section.yaml) }
        }
        return Document(reply.version, sections.toMap())
    }

    fun apply(change: ProposedChange): ApplyReply = callBlocking(
        OperatorMethods.APPLY,
        ApplyRequest.newBuilder()
            .setOperatorToken(token)
            .setChangeId(change.changeId)
            .setComment(change.comment)
            .setDryRun(change.dryRun)
            .addAllSections(
                change.sections.map { (team, text) ->
                    ConfigurationSection.newBuilder()
                        .setSection(team.sectionName)
                        .setVersion(text.version)
                        .setYaml(text.yaml)
                        .build()
                },
            )
            .build(),
    )

    fun history(limit: Int): HistoryReply =
        callBlocking(
            OperatorMethods.HISTORY,
            HistoryRequest.newBuilder().setOperatorToken(token).setLimit(limit).build(),
        )

    fun endpoints(): EndpointListReply =
        callBlocking(OperatorMethods.LIST_ENDPOINTS, EndpointListRequest.newBuilder().setOperatorToken(token).build())

    /** Withdraws a key without blocking; the future fails if the entry does not answer before the deadline. */
    fun withdraw(keyId: String, changeId: String): CompletableFuture<WithdrawKeyReply> = channel.call(
        OperatorMethods.WITHDRAW_KEY,
        WithdrawKeyRequest.newBuilder().setOperatorToken(token).setKeyId(keyId).setChangeId(changeId).build(),
        WITHDRAWAL_DEADLINE,
    )

    override fun close() {
        channel.shutdownNow()
    }

    private fun <Q, A> callBlocking(method: MethodDescriptor<Q, A>, request: Q): A = try {
        channel.call(method, request, CALL_DEADLINE).get()
    } catch (e: ExecutionException) {
        val status = (e.cause as? StatusRuntimeException)?.status ?: Status.UNKNOWN
        val code = if (status.code == Status.Code.UNAUTHENTICATED) ExitCode.FORBIDDEN else ExitCode.UNAVAILABLE
        val reason = status.description ?: status.code.name
        throw failure(code, "${method.bareMethodName} at $address: $reason", e)
    }

    private companion object {
        // Longer than the entry's own retries of table calls.
        val CALL_DEADLINE = 15.seconds
        val WITHDRAWAL_DEADLINE = 4.seconds
    }
}

/** Configuration change to send. The version of each section is the one on which its change is based. */
internal data class ProposedChange(
    val sections: Map<Team, SectionText>,
    val changeId: String,
    val comment: String = "",
    val dryRun: Boolean = false,
)
