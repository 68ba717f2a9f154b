package org.celerywalk.key

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.celerywalk.configuration.CommercialSection
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.KeyEntry
import org.celerywalk.configuration.PlatformSection
import org.celerywalk.configuration.SecuritySection
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class RequestAuthenticatorTest {
    private val hasher = KeyHasher("pepper")

    @Test
    fun `a request is authenticated only for the account of the single key in its headers`() {
        // Guards against a choice of the account by other headers, a second key, a key in the target or an altered key.
        checkSchedules { random ->
            val owner = random.nextInt(ACCOUNTS)
            val placement = KeyPlacement.entries.random(random)
            val authenticator = RequestAuthenticator(hasher, { configuration(emptySet()) }, { false }, { true })
            val headers =
                listOf("x-client-account" to "account-${random.nextInt(ACCOUNTS)}") + placement.headers(key(owner))
            val result = authenticator.authenticate(
                headers.shuffled(random),
                placement.path(key(owner)),
                placement.query(key(owner)),
            )
            assertEquals(placement.problem, result.leftOrNull()?.problem, "$placement")
            result.onRight { assertEquals("account-$owner", it.caller.clientAccount) }
        }
    }

    @Test
    fun `revalidation cuts exactly the streams whose key is no longer valid`() {
        // Guards against streams that continue after their key was withdrawn or the key confirmation has lapsed.
        checkSchedules { random -> KeySchedule(random).run() }
    }

    @Test
    fun `header fields forwarded to endpoints never contain a key`() {
        checkSchedules { random ->
            val names = listOf("Authorization", "X-API-KEY", "Cookie", "accept", "Proxy-Authorization", "x-custom")
            val headers = names.shuffled(random).map { it to if (it == "accept") "text/plain" else key(0) }
            assertEquals(listOf("accept" to "text/plain"), allowedHeaders(headers, FORWARDED_HEADERS))
        }
        assertNull(CallerKey.parse(key(0))?.toString()?.takeIf { it.contains(SECRET) })
    }

    private inner class KeySchedule(private val random: Random) {
        private val withdrawnInConfiguration = mutableSetOf<Int>()
        private val withdrawnDirectly = mutableSetOf<Int>()
        private var isConfirmed = true
        private val authenticator = RequestAuthenticator(
            hasher,
            { configuration(withdrawnInConfiguration, version = withdrawnInConfiguration.size.toLong()) },
            { id -> withdrawnDirectly.any { "k$it" == id } },
            { isConfirmed },
        )
        private val streams = OpenStreams(authenticator::refusalReason)
        private val openStreams = mutableListOf<Pair<Int, OpenStreams.Registration>>()
        private val cutAccounts = mutableListOf<Int>()

        fun run() = repeat(STEPS) {
            val account = random.nextInt(ACCOUNTS)
            when (random.nextInt(6)) {
                0 -> withdrawnInConfiguration += account
                1 -> withdrawnDirectly += account
                2 -> isConfirmed = random.nextBoolean()
                3 -> if (openStreams.isNotEmpty()) openStreams.removeAt(random.nextInt(openStreams.size)).second.end()
                else -> openStream(account)
            }
            if (random.nextBoolean()) revalidate()
        }

        private fun openStream(account: Int) {
            val result = authenticator.authenticate(listOf("x-api-key" to key(account)), "/", null)
            assertEquals(maySendRequests(account), result.isRight())
            result.onRight { openStreams += account to streams.register(it.caller) { cutAccounts += account } }
        }

        private fun revalidate() {
            cutAccounts.clear()
            val (remaining, expectedCuts) = openStreams.map { it.first }.partition(::maySendRequests)
            assertEquals(expectedCuts.size, streams.revalidate())
            assertEquals(expectedCuts.sorted(), cutAccounts.sorted())
            openStreams.removeAll { !maySendRequests(it.first) }
            assertEquals(remaining.size, streams.size)
        }

        private fun maySendRequests(account: Int) =
            isConfirmed && account !in withdrawnInConfiguration && account !in withdrawnDirectly
    }

    private enum class KeyPlacement(
        val problem: KeyProblem?,
        val headers: (String) -> List<Pair<String, String>>,
        val path: (String) -> String = { "/v1/models" },
        val query: (String) -> String? = { null },
    ) {
        BEARER_HEADER(null, { listOf("Authorization" to "Bearer $it") }),
        X_API_KEY_HEADER(null, { listOf("X-Api-Key" to it) }),
        NO_KEY(KeyProblem.MISSING, { emptyList() }),
        TWO_HEADERS(KeyProblem.SEVERAL, { listOf("authorization" to "Bearer $it", "x-api-key" to it) }),
        REPEATED_HEADER(KeyProblem.SEVERAL, { key -> List(2) { "authorization" to "Bearer $key" } }),
        ALTERED(KeyProblem.INVALID, { listOf("x-api-key" to it.dropLast(1) + "z") }),
        UNKNOWN_ID(KeyProblem.INVALID, { listOf("x-api-key" to it.replace("cw_k", "cw_u")) }),
        MISMATCHED_ID(KeyProblem.INVALID, { listOf("x-api-key" to it.replace(Regex("k[0-2]"), "k3")) }),
        IN_QUERY(KeyProblem.IN_TARGET, { listOf("x-api-key" to it) }, query = { "a=1&q=$it" }),
        KEY_PARAMETER_NAME(KeyProblem.IN_TARGET, { listOf("x-api-key" to it) }, query = { "%61pi_key=x" }),
        IN_PATH(KeyProblem.IN_TARGET, { listOf("x-api-key" to it) }, path = { "/services/" + it.replace("_", "%5f") }),
    }

    private fun key(account: Int) = "cw_k${account}_$SECRET$account"

    // No key has the hash of entry k3.
    private fun configuration(withdrawn: Set<Int>, version: Long = 1) = Configuration(
        version,
        emptyMap(),
        CommercialSection(),
        SecuritySection(
            List(ACCOUNTS) { KeyEntry("k$it", "account-$it", hasher.hashHex(key(it)), it in withdrawn) } +
                KeyEntry("k3", "account-0", "not hexadecimal"),
        ),
        PlatformSection(),
    )

    private fun checkSchedules(check: (Random) -> Unit) = runBlocking {
        checkAll(PropTestConfig(seed = 20_261_205, iterations = 500), Arb.int()) { check(Random(it)) }
        Unit
    }

    private companion object {
        const val ACCOUNTS = 3
        const val STEPS = 30
        const val SECRET = "0123456789abcdef"
    }
}
