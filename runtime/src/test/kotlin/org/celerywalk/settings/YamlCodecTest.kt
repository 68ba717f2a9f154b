package org.celerywalk.settings

import arrow.core.Either
import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.Document
import org.celerywalk.configuration.EndpointState
import org.celerywalk.configuration.Fault
import org.celerywalk.configuration.SectionText
import org.celerywalk.configuration.SecuritySection
import org.celerywalk.configuration.Team
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class YamlCodecTest {
    @Test
    fun `a whole document is split, parsed and validated`() {
        val configuration = parse(DOCUMENT).fold({ error("$it") }, { it })
        assertEquals(EndpointState.DRAINING, configuration.platform.endpoints.single().state)
        assertEquals(40_000, configuration.commercial.clientAccounts.single().burstTokens)
    }

    @Test
    fun `parsing a written section returns the same section`() {
        val configuration = parse(DOCUMENT).fold({ error("$it") }, { it })
        Team.entries.forEach { team ->
            val section = configuration.section(team)
            assertEquals(section, YamlCodec.parse(team, YamlCodec.write(section), "f").getOrNull())
        }
        val sections = YamlCodec.split(DOCUMENT, "f").getOrNull().orEmpty()
        assertEquals(sections, YamlCodec.split(YamlCodec.join(sections), "f").getOrNull())
    }

    @Test
    fun `unknown keys and invalid values of all sections are reported together`() {
        val yaml = DOCUMENT.replace("burst-tokens", "bursts").replace("platform:", "plat:")
        assertEquals(
            listOf("plat", "commercial.client-accounts[0].bursts", "commercial.client-accounts[0].burst-tokens"),
            YamlCodec.split(yaml, "f").leftOrNull()?.map(Fault::path)
        )
        val faults = YamlCodec.split(DOCUMENT.replace("draining", "asleep"), "f").leftOrNull()
        assertEquals("f: platform.endpoints[0].state: given 'asleep', accepted active, draining", "${faults?.single()}")
    }

    @Test
    fun `faults of broken references between sections have the path and the declared names`() {
        val yaml = DOCUMENT.replace("client-account: kyushu", "client-account: kyuushu")
            .replace("model: petals,", "model: petal,").replace("services: [swaps]", "services: [swap]")
            .replace("data-centre: fukuoka-a", "data-centre: fukuoka-b")
        val faults = parse(yaml).leftOrNull().orEmpty()
        assertEquals(
            listOf(
                "security.keys[0].client-account",
                "platform.endpoints[0].data-centre",
                "platform.endpoints[0].services[0]",
                "platform.endpoints[0].replicas[0].model",
            ),
            faults.map { it.path }
        )
        assertEquals("kyushu", faults.first().accepted)
    }

    @Test
    fun `an empty section is parsed to its defaults`() {
        assertEquals(SecuritySection(), YamlCodec.parse(Team.SECURITY, "", "f").getOrNull())
        assertTrue(YamlCodec.parse(Team.SECURITY, "- 1", "f").isLeft())
    }

    private fun parse(yaml: String) = YamlCodec.split(yaml, "f").fold({ error("$it") }, ::document)

    private fun document(sections: Map<Team, String>): Either<List<Fault>, Configuration> =
        Document(1, sections.mapValues { SectionText(1, it.value) }).parse(YamlCodec, "f")

    private companion object {
        val DOCUMENT = """
            commercial:
              client-accounts:
                - {name: kyushu, rate-tokens-per-second: 9000, burst-tokens: 40000, models: [petals]}
            security:
              keys:
                - {id: k0001, client-account: kyushu, hash: "${"0a".repeat(32)}"}
              operators:
                - {name: aiko, team: security, token-hash: "${"1e".repeat(32)}"}
            platform:
              data-centres: [{name: fukuoka-a, region: kyushu}]
              models: [{name: petals, weights: w1, piece-tokens: 4000}]
              services: [{name: swaps, path: /services/bucket-swaps}]
              endpoints:
                - name: e1
                  data-centre: fukuoka-a
                  address: 127.0.0.1:7001
                  state: draining
                  replicas: [{name: r1, model: petals, checks-fencing: true}]
                  services: [swaps]
        """.trimIndent()
    }
}
