package org.celerywalk.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.celerywalk.configuration.KeyEntry
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.configuration.Team
import org.celerywalk.key.KeyHasher
import org.celerywalk.protocol.WithdrawKeyReply
import org.celerywalk.settings.YamlCodec
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat
import java.util.concurrent.CompletionException

private const val KEY_ID_BYTES = 6
private const val SECRET_BYTES = 32

/** Adds a new API key to the security section and prints it. */
internal class KeyIssue : Command(
    "issue",
    "Creates a random key for a client account, prints it once and stores only its keyed hash.",
    "celerywalk key issue kyushu --pepper-file pepper --entry 10.0.0.5:7001 --token-file token",
) {
    private val clientAccount by argument()
    private val pepperFile by option(help = "File with the pepper of the entries' settings")
        .path(mustExist = true, canBeDir = false).required()
    private val connection by ConnectionOptions()

    override fun run() {
        val id = HexFormat.of().formatHex(randomBytes(KEY_ID_BYTES))
        val key = "cw_${id}_${randomSecret()}"
        val entry = KeyEntry(id, clientAccount, KeyHasher(readSecret(pepperFile)).hashHex(key))
        connection.use { client ->
            val base = client.show().sections[Team.SECURITY] ?: SectionText(0, "")
            val security = parseSecurity(base)
            val text = YamlCodec.write(security.copy(keys = security.keys + entry))
            val sections = mapOf(Team.SECURITY to SectionText(base.version, text))
            val reply = client.apply(ProposedChange(sections, newChangeId(), "issue key $id for $clientAccount"))
            if (reply.result != "applied") throw applyError(reply, "key $id was not issued")
            print(mapOf("key" to key, "id" to id, "version" to reply.version)) { listOf(key) }
        }
    }

    private fun parseSecurity(text: SectionText): SecuritySection =
        YamlCodec.parse(Team.SECURITY, text.yaml, "configuration").getOrNull() as? SecuritySection
            ?: throw failure(ExitCode.INVALID, "cannot parse the security section of version ${text.version}")
}

/** Withdraws a key at every reachable entry; works without the table. */
internal class KeyWithdraw : Command(
    "withdraw",
    "Withdraws a key at the given entries and at all entries that they know, even while the table is down.",
    "celerywalk key withdraw 4f2a90c1d3e8 --entry 10.0.0.5:7001 --entry 10.0.1.5:7001 --token-file token",
) {
    private val id by argument()
    private val connection by ConnectionOptions()

    override fun run() {
        val token = connection.token
        val changeId = newChangeId()
        val replies = mutableMapOf<String, Result<WithdrawKeyReply>>()
        var addressesToAsk = connection.entries.toSet()
        // Each reply lists the entries that its sender knows; the loop ends when every known entry has been asked.
        while (addressesToAsk.isNotEmpty()) {
            replies += withdrawAt(addressesToAsk, token, changeId)
            addressesToAsk =
                replies.values.mapNotNull { it.getOrNull() }.flatMap { it.entriesList }.toSet() - replies.keys
        }
        report(replies)
    }

    private fun withdrawAt(
        addresses: Set<String>,
        token: String,
        changeId: String,
    ): Map<String, Result<WithdrawKeyReply>> {
        val clients = addresses.associateWith { OperatorClient(it, token) }
        val calls = clients.mapValues { (_, client) -> client.withdraw(id, changeId) }
        val results = calls.mapValues { (_, call) ->
            try {
                Result.success(call.join())
            } catch (e: CompletionException) {
                Result.failure(e.cause ?: e)
            }
        }
        clients.values.forEach { it.close() }
        return results
    }

    private fun report(replies: Map<String, Result<WithdrawKeyReply>>) {
        val unconfirmed = replies.filterValues { it.getOrNull()?.accepted != true }.mapValues { (_, result) ->
            result.fold({ it.message }, { "${it.message}" })
        }
        val confirmed = replies.keys - unconfirmed.keys
        val recorded = replies.values.any { it.getOrNull()?.recorded == true }
        val jsonFields =
            mapOf("id" to id, "confirmed" to confirmed, "not_confirmed" to unconfirmed, "recorded" to recorded)
        print(jsonFields) {
            confirmed.map { "confirmed by $it" } +
                unconfirmed.map { (address, reason) -> "not confirmed by $address: $reason" } +
                if (recorded) "recorded in the configuration" else "not recorded in the configuration yet"
        }
        val error = when {
            unconfirmed.isEmpty() -> null
            confirmed.isNotEmpty() -> failure(ExitCode.PARTIAL, "${unconfirmed.size} entries did not confirm")
            replies.values.any { it.isSuccess } -> failure(ExitCode.FORBIDDEN, "no entry accepted the withdrawal")
            else -> failure(ExitCode.UNAVAILABLE, "no entry answered")
        }
        error?.let { throw it }
    }
}

/** Creates an operator token and its hash, without contacting an entry. */
internal class TokenCreate : Command(
    "create",
    "Creates a random token and its hash for security.operators; neither is stored.",
    "celerywalk token create --pepper-file pepper",
) {
    private val pepperFile by option(help = "File with the pepper of the entries' settings")
        .path(mustExist = true, canBeDir = false).required()

    override fun run() {
        val token = randomSecret()
        val hash = KeyHasher(readSecret(pepperFile)).hashHex(token)
        print(mapOf("token" to token, "token_hash" to hash)) { listOf("token: $token", "token-hash: \"$hash\"") }
    }
}

private fun randomBytes(count: Int) = ByteArray(count).also { SecureRandom().nextBytes(it) }

private fun randomSecret() = Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES))
