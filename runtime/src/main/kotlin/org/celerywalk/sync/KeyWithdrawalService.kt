package org.celerywalk.sync

import org.celerywalk.configuration.ChangeResult
import org.celerywalk.configuration.ConfigurationChanger
import org.celerywalk.protocol.WithdrawKeyReply
import org.celerywalk.protocol.WithdrawKeyRequest
import org.celerywalk.rpc.toMessage
import org.celerywalk.settings.YamlCodec
import org.celerywalk.table.Table
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Withdraws keys on behalf of operators of the security team, also while the table does not answer. */
public class KeyWithdrawalService(
    private val sync: ConfigurationSync,
    private val operators: OperatorAuthenticator,
    table: Table,
) {
    private val changer = ConfigurationChanger(table, YamlCodec)

    /** Withdraws a key in this process at once, and in the configuration if the table answers in time. */
    public fun withdraw(request: WithdrawKeyRequest): CompletableFuture<WithdrawKeyReply> {
        val operator = operators.securityOperator(sync.current(), request.operatorToken)
        val refusal = when {
            operator == null -> "the token is not that of an operator of the security team"
            !KEY_ID_PATTERN.matches(request.keyId) ->
                "given key id '${request.keyId}', expected ${KEY_ID_PATTERN.pattern}"
            else -> null
        }
        if (operator == null || refusal != null) {
            return CompletableFuture.completedFuture(replyBuilder().setMessage(refusal.orEmpty()).build())
        }
        val ids = setOf(request.keyId)
        // The key is refused here at once, also if the table does not answer.
        sync.synchroniser.withdraw(ids)
        return changer.withdraw(ids, operator.name, request.changeId, System.currentTimeMillis())
            .completeOnTimeout(
                ChangeResult.Unavailable("no answer yet", true),
                COMMIT_TIMEOUT_MILLIS,
                TimeUnit.MILLISECONDS,
            )
            .thenApply { withdrawalReply(request.keyId, it) }
    }

    private fun withdrawalReply(keyId: String, result: ChangeResult): WithdrawKeyReply {
        if (result is ChangeResult.Applied) sync.synchroniser.adoptCommitted(result.document)
        val isDeclared = sync.current()?.security?.keys.orEmpty().any { it.id == keyId }
        val message = when {
            result is ChangeResult.Unavailable -> result.problem
            !isDeclared -> "no key with id $keyId is declared"
            else -> result.wireName
        }
        return replyBuilder()
            .setAccepted(true)
            .setRecorded(isDeclared && result !is ChangeResult.Unavailable)
            .setVersion(sync.current()?.version ?: 0L)
            .setMessage(message)
            .build()
    }

    private fun replyBuilder() = WithdrawKeyReply.newBuilder()
        .setReceiver(sync.identity().toMessage())
        .addAllEntries(sync.synchroniser.entryAddresses())

    private companion object {
        val KEY_ID_PATTERN = Regex("[A-Za-z0-9.-]{1,64}")

        // The command line waits for every entry, so an entry must not wait long for the table.
        const val COMMIT_TIMEOUT_MILLIS = 1_500L
    }
}
