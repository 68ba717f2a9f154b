package org.celerywalk.configuration

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.celerywalk.table.FakeTable
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against lost, duplicate, unauthorised and unaudited changes, over generated fault schedules. */
class ConfigurationChangerTest {
    @Test
    fun `an accepted change is in force exactly once and a rejected change never`() = onSchedules { schedule ->
        val namesInForce = Team.entries.flatMap { schedule.section(it).names() }
        schedule.results.filterKeys { it.changeId != "first" }.forEach { (change, result) ->
            val expected = if (result is ChangeResult.Applied || result is ChangeResult.AlreadyApplied) 1 else 0
            // A change that is in force already is recognised by its text (Unchanged) or its id (AlreadyApplied).
            val count = namesInForce.count { it == change.changeId }
            if (result is ChangeResult.Unchanged) assertTrue(count <= 1) else assertEquals(expected, count, "$result")
        }
    }

    @Test
    fun `every version has one audit record and no change id has two`() = onSchedules { schedule ->
        val records = schedule.auditRecords
        assertEquals((1..schedule.head.version).toList(), records.map { it.version })
        assertEquals(records.size, records.map { it.changeId }.toSet().size)
    }

    @Test
    fun `a team changes its own section only`() = onSchedules { schedule ->
        val appliedIds = schedule.auditRecords.map { it.changeId }.toSet()
        assertEquals(emptySet(), schedule.unownedChanges.map { it.changeId }.toSet() intersect appliedIds)
    }

    @Test
    fun `a change conflicts only if its own section was changed in the meantime`() = onSchedules { schedule ->
        schedule.results.filterValues { it is ChangeResult.Conflict }.keys.forEach { change ->
            val proposal = change.sections.single()
            assertTrue(schedule.head.sections.getValue(proposal.team) > proposal.baseVersion, change.changeId)
        }
    }

    @Test
    fun `the fault schedules cover every outcome`() {
        val outcomes = HashMap<String, Int>()
        onSchedules { schedule -> schedule.results.values.forEach { outcomes.merge(it.wireName, 1, Int::plus) } }
        val expected = setOf("applied", "already_applied", "conflict", "forbidden")
        assertEquals(expected, outcomes.keys - "unchanged", "$outcomes")
    }

    @Test
    fun `a later change cannot make a withdrawn key valid again or remove its entry`() {
        val changer = ConfigurationChanger(FakeTable(), TestCodec)
        val key = KeyEntry("k1", "a1", hashOf("k1"))
        fun security(vararg keys: KeyEntry) =
            TestCodec.write(SecuritySection(keys.toList(), listOf(operator(Team.SECURITY))))
        val account = TestCodec.write(CommercialSection(listOf(ClientAccountEntry("a1", 1, 1))))
        val first = listOf(
            ProposedSection(Team.COMMERCIAL, 0, account),
            ProposedSection(Team.SECURITY, 0, security(key)),
        )
        assertIs<ChangeResult.Applied>(changer.apply(Change("c1", "", true, first, "", 0)).join())
        assertIs<ChangeResult.Applied>(changer.withdraw(setOf("k1"), "ren", "c2", 0).join())
        listOf(security(key), security()).forEach { text ->
            val proposal = ProposedSection(Team.SECURITY, 2, text)
            val change = Change("c3", hashOf("token-security"), false, listOf(proposal), "", 0)
            assertIs<ChangeResult.Invalid>(changer.apply(change).join())
        }
    }

    private fun onSchedules(check: (ChangeSchedule) -> Unit) = runBlocking {
        checkAll(PropTestConfig(seed = SEED, iterations = SCHEDULE_COUNT), Arb.long()) { seed ->
            check(ChangeSchedule(seed).also { it.run() })
        }
        Unit
    }

    private companion object {
        const val SEED = 1301L
        const val SCHEDULE_COUNT = 300
    }
}
