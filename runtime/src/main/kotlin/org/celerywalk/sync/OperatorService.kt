package org.celerywalk.sync

import arrow.core.Either
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.stub.ServerCalls
import org.celerywalk.configuration.AuditRecord
import org.celerywalk.configuration.Change
import org.celerywalk.configuration.ChangeResult
import org.celerywalk.configuration.ConfigurationChanger
import org.celerywalk.configuration.ConfigurationTable
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.ProposedSection
import org.celerywalk.protocol.ApplyReply
import org.celerywalk.protocol.ApplyRequest
import org.celerywalk.protocol.AuditEntry
import org.celerywalk.protocol.ConfigurationReply
import org.celerywalk.protocol.EndpointListReply
import org.celerywalk.protocol.EndpointListRequest
import org.celerywalk.protocol.EndpointStatus
import org.celerywalk.protocol.HistoryReply
import org.celerywalk.protocol.HistoryRequest
import org.celerywalk.protocol.ReplicaSummary
import org.celerywalk.protocol.ShowRequest
import org.celerywalk.rpc.OperatorMethods
import org.celerywalk.rpc.unaryHandler
import org.celerywalk.settings.YamlCodec
import org.celerywalk.table.Table
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

/**
 * gRPC service for the operators' command line.
 *
 * @param replicas returns the known summaries of the replicas of an endpoint.
 */
public class OperatorService(
    private val sync: ConfigurationSync,
    private val operators: OperatorAuthenticator,
    table: Table,
    private val withdrawals: KeyWithdrawalService,
    private val replicas: (endpoint: String) -> List<ReplicaSummary> = { emptyList() },
) {
    private val changer = ConfigurationChanger(table, YamlCodec)
    private val reader = ConfigurationTable(table)

    /** Returns the gRPC service definition. */
    public fun definition(): ServerServiceDefinition = ServerServiceDefinition.builder(OperatorMethods.SERVICE)
        .addMethod(OperatorMethods.APPLY, ServerCalls.asyncUnaryCall(unaryHandler(::apply)))
        .addMethod(OperatorMethods.SHOW, ServerCalls.asyncUnaryCall(unaryHandler(::show)))
        .addMethod(OperatorMethods.HISTORY, ServerCalls.asyncUnaryCall(unaryHandler(::history)))
        .addMethod(OperatorMethods.LIST_ENDPOINTS, ServerCalls.asyncUnaryCall(unaryHandler(::listEndpoints)))
        .addMethod(OperatorMethods.WITHDRAW_KEY, ServerCalls.asyncUnaryCall(unaryHandler(withdrawals::withdraw)))
        .build()

    private fun apply(request: ApplyRequest): CompletableFuture<ApplyReply> {
        val unknownSections = request.sectionsList.map { it.section }.filter { teamOf(it) == null }
        if (unknownSections.isNotEmpty() || request.changeId.isEmpty()) {
            val problem = "given sections ${unknownSections.joinToString()} and change id '${request.changeId}', " +
                "expected sections commercial, security, platform and a change id"
            val reply = ApplyReply.newBuilder().setResult("invalid").addProblems(problem).build()
            return CompletableFuture.completedFuture(reply)
        }
        val change = Change(
            changeId = request.changeId,
            tokenHash = operators.hashOf(request.operatorToken),
            hasBootstrapToken = operators.isBootstrapToken(request.operatorToken),
            sections = request.sectionsList.mapNotNull { section ->
                teamOf(section.section)?.let { ProposedSection(it, section.version, section.yaml) }
            },
            comment = request.comment,
            timestampMillis = System.currentTimeMillis(),
            isDryRun = request.dryRun,
        )
        return changer.apply(change).thenApply { result ->
            if (result is ChangeResult.Applied) sync.synchroniser.adoptCommitted(result.document)
            replyOf(result)
        }
    }

    private fun show(request: ShowRequest): CompletableFuture<ConfigurationReply> =
        withReadAccess(request.operatorToken) { latestDocument().thenApply { replyOf(it.version, it.sections) } }

    /** Reads the last committed document, to base a change on. If the table fails, returns the one in force here. */
    private fun latestDocument(): CompletableFuture<Document> = reader.readLatestHead().thenCompose { head ->
        when (head) {
            is Either.Left -> CompletableFuture.completedFuture(sync.synchroniser.document)
            is Either.Right -> reader.readDocument(head.value, sync.synchroniser.document)
                .thenApply { it.getOrNull() ?: sync.synchroniser.document }
        }
    }

    private fun history(request: HistoryRequest): CompletableFuture<HistoryReply> =
        withReadAccess(request.operatorToken) {
            reader.readAuditRecords(request.limit.coerceIn(1, MAX_HISTORY_ENTRIES)).thenCompose { records ->
                records.fold(::unavailable) { completed(historyOf(it)) }
            }
        }

    private fun listEndpoints(request: EndpointListRequest): CompletableFuture<EndpointListReply> =
        withReadAccess(request.operatorToken) {
            val endpoints = sync.current()?.platform?.endpoints.orEmpty().map {
                EndpointStatus.newBuilder()
                    .setEndpoint(it.name)
                    .setDataCentre(it.dataCentre)
                    .setAddress(it.address)
                    .setState(it.state.name.lowercase())
                    .addAllReplicas(replicas(it.name))
                    .build()
            }
            completed(EndpointListReply.newBuilder().addAllEndpoints(endpoints).build())
        }

    private fun <T> withReadAccess(token: String, body: () -> CompletableFuture<T>): CompletableFuture<T> =
        if (operators.canRead(sync.current(), token)) {
            body()
        } else {
            val status = Status.UNAUTHENTICATED.withDescription("the operator's token is unknown")
            CompletableFuture.failedFuture(status.asRuntimeException())
        }

    private companion object {
        const val MAX_HISTORY_ENTRIES = 500
    }
}

private fun <T> completed(value: T): CompletableFuture<T> = CompletableFuture.completedFuture(value)

private fun <T> unavailable(error: TableError): CompletableFuture<T> = CompletableFuture.failedFuture(
    Status.UNAVAILABLE.withDescription("${error.step} at ${error.peer}: ${error.message}").asRuntimeException(),
)

private fun historyOf(records: List<AuditRecord>): HistoryReply = HistoryReply.newBuilder()
    .addAllEntries(
        records.map {
            AuditEntry.newBuilder()
                .setVersion(it.version)
                .setPreviousVersion(it.previousVersion)
                .setChangeId(it.changeId)
                .setOperator(it.operator)
                .setTeam(it.team)
                .addAllSections(it.sections)
                .setAtMillis(it.timestampMillis)
                .addAllDifference(it.difference)
                .setComment(it.comment)
                .build()
        },
    )
    .build()

private fun replyOf(result: ChangeResult): ApplyReply {
    val reply = ApplyReply.newBuilder().setResult(result.wireName)
    when (result) {
        is ChangeResult.Applied -> reply.setVersion(result.version).addAllDifference(result.difference)
        is ChangeResult.Planned -> reply.addAllDifference(result.difference)
        is ChangeResult.Unchanged -> reply.setVersion(result.version)
        is ChangeResult.AlreadyApplied -> reply.setVersion(result.version)
        is ChangeResult.Conflict -> reply.addProblems(result.problem)
        is ChangeResult.Invalid -> reply.addAllProblems(result.faults.map { "$it" })
        is ChangeResult.Forbidden -> reply.addProblems(result.problem)
        is ChangeResult.Unavailable -> reply.addProblems(
            result.problem + if (result.mayBeCommitted) "; the change may have been committed" else "",
        )
    }
    return reply.build()
}
