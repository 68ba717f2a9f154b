package org.celerywalk.stream

import org.celerywalk.error.Execution
import kotlin.random.Random

/** Runs one answer over attempts with random faults, and records the text and the steps that the caller gets. */
internal class FaultyAttempts(private val random: Random) {
    val expectedTokens = List(random.nextInt(1, 16)) { "t$it " }
    val stream = AnswerStream(MAX_ATTEMPTS)
    val forwardedText = StringBuilder()
    val steps = mutableListOf<StreamStep>()
    val end: StreamStep? get() = steps.firstOrNull { it is StreamStep.Complete || it is StreamStep.Fail }
    var hadHarmlessAttempt = false
        private set
    private val lateEvents = mutableListOf<Pair<String, StreamEvent>>()

    fun run() {
        var attempt = 0
        while (end == null) {
            val id = "attempt-$attempt"
            val start = stream.beginAttempt(id, WEIGHTS)
            check(start.resumeText == expectedTokens.take(start.resumeOffset).joinToString("")) {
                "resume text does not match the forwarded tokens"
            }
            val fault = random.nextInt(FAULT_KINDS)
            hadHarmlessAttempt = hadHarmlessAttempt || fault < HARMLESS_FAULTS
            deliver(id, withFault(events(start), fault))
            attempt++
        }
        lateEvents.forEach { (id, event) -> handle(id, event) }
    }

    private fun deliver(id: String, events: List<StreamEvent>) {
        val stepsBefore = steps.size
        for ((index, event) in events.withIndex()) {
            lateEvents.randomOrNull(random)?.let { (lateAttemptId, lateEvent) -> handle(lateAttemptId, lateEvent) }
            handle(id, event)
            val isAttemptOver = steps.drop(stepsBefore).any { it is StreamStep.Retry || it is StreamStep.Fail }
            if (isAttemptOver) return recordLateEvents(id, events.drop(index))
        }
        if (end == null) handle(id, StreamEvent.Refused("lost", "the call ended", Execution.UNKNOWN))
        recordLateEvents(id, events)
    }

    // The text of another attempt may differ at the same offset, so no late text may reach the caller.
    private fun recordLateEvents(id: String, events: List<StreamEvent>) {
        lateEvents += events.map { id to if (it is StreamEvent.Tokens) it.copy(text = "late ") else it }
    }

    private fun handle(id: String, event: StreamEvent) {
        val step = stream.handleEvent(id, event)
        if (step is StreamStep.Forward) forwardedText.append(step.text)
        steps += step
    }

    private fun events(start: AttemptStart): List<StreamEvent> = buildList {
        add(StreamEvent.Started(WEIGHTS, 1, 0))
        var offset = start.resumeOffset
        while (offset < expectedTokens.size) {
            val count = random.nextInt(1, 4).coerceAtMost(expectedTokens.size - offset)
            add(StreamEvent.Tokens(offset, count, expectedTokens.subList(offset, offset + count).joinToString("")))
            offset += count
        }
        add(StreamEvent.Finished(expectedTokens.size, "stop"))
    }

    private fun withFault(events: List<StreamEvent>, fault: Int): List<StreamEvent> {
        val index = random.nextInt(events.size)
        val otherIndex = random.nextInt(events.size)
        return when (fault) {
            0 -> events
            1 -> events.take(index + 1) + events.drop(index)
            2 -> events.take(index) + events.take(otherIndex + 1) + events.drop(index)
            3 -> events.take(index)
            4 -> events.take(index) + StreamEvent.Refused("crash", "the engine crashed", Execution.RAN)
            5 -> events.take(index) + events.drop(index + 1)
            6 -> events.toMutableList().apply { set(index, events[otherIndex]).also { set(otherIndex, it) } }
            7 -> events.take(index) + StreamEvent.Finished(expectedTokens.size + random.nextInt(3), "stop")
            else -> listOf(StreamEvent.Started("other weights", 1, 0)) + events
        }
    }

    companion object {
        const val MAX_ATTEMPTS = 4
        const val WEIGHTS = "w1"
        private const val FAULT_KINDS = 9

        // Faults below this number are no fault or only repeat events.
        private const val HARMLESS_FAULTS = 3
    }
}
