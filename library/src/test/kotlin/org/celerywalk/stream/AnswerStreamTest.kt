package org.celerywalk.stream

import io.kotest.common.runBlocking
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.celerywalk.error.Execution
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class AnswerStreamTest {
    @Test
    fun `attempts with faults - the caller gets a prefix of the answer and a truthful end`() {
        // Guards against gaps, repeated tokens, tokens of another attempt, and truncated answers reported as complete.
        // These failures occur if events of a faulty or earlier attempt are forwarded.
        forAllSchedules { run ->
            val expectedText = run.expectedTokens.joinToString("")
            assertTrue(
                expectedText.startsWith(run.forwardedText),
                "forwarded '${run.forwardedText}' of '$expectedText'",
            )
            assertEquals(
                run.end is StreamStep.Complete,
                run.forwardedText.toString() == expectedText && run.end !is StreamStep.Fail,
            )
            val stepsAfterEnd = run.steps.dropWhile { it !== run.end }.drop(1)
            assertTrue(stepsAfterEnd.all { it is StreamStep.Ignore }, "steps after the end: $stepsAfterEnd")
        }
    }

    @Test
    fun `an answer is complete if one of its attempts has no harmful fault`() {
        // Guards against an answer that fails although another attempt is allowed.
        forAllSchedules { run -> if (run.hadHarmlessAttempt) assertIs<StreamStep.Complete>(run.end) }
    }

    @Test
    fun `a failure reports NOT_RUN only if every attempt was refused before execution`() {
        val executions = listOf(Execution.NOT_RUN, Execution.UNKNOWN, Execution.RAN)
        val pairs = executions.flatMap { first -> executions.map { first to it } }
        pairs.forEach { (first, second) ->
            val stream = AnswerStream(maxAttempts = 2)
            stream.beginAttempt("a", "w1")
            stream.handleEvent("a", StreamEvent.Refused("full", "full", first))
            stream.beginAttempt("b", "w1")
            val step = stream.handleEvent("b", StreamEvent.Refused("lost", "lost", second))
            val isNotRun = assertIs<StreamStep.Fail>(step).failure.execution == Execution.NOT_RUN
            assertEquals(first == Execution.NOT_RUN && second == Execution.NOT_RUN, isNotRun)
        }
    }

    @Test
    fun `a request follows at most one redirect`() {
        val stream = AnswerStream()
        stream.beginAttempt("a", "w1")
        val refusal = StreamEvent.Refused("moved", "moved", Execution.NOT_RUN, redirect = "e2")
        assertEquals(StreamStep.Retry("e2"), stream.handleEvent("a", refusal))
        assertTrue(stream.beginAttempt("b", "w1").isRedirected)
        assertEquals(StreamStep.Retry(null), stream.handleEvent("b", refusal))
    }

    private fun forAllSchedules(check: (FaultyAttempts) -> Unit) = runBlocking {
        checkAll(PropTestConfig(seed = 20_261_204, iterations = 3_000), Arb.int()) { seed ->
            check(FaultyAttempts(Random(seed)).apply { run() })
        }
        Unit
    }
}
