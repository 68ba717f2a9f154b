package org.celerywalk.simulation

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Deterministic discrete-event simulation: runs scheduled actions in order of time. The seed determines all delays. */
class Simulation(seed: Long) {
    private class Event(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.sequence }))
    private var scheduledCount = 0L
    val random = Random(seed)
    val timeSource = TestTimeSource()
    var nowMillis = 0L
        private set

    fun schedule(delayMillis: Long, action: () -> Unit) {
        events += Event(nowMillis + delayMillis, scheduledCount++, action)
    }

    /** Returns true with a probability of [percent]. */
    fun randomBoolean(percent: Int) = random.nextInt(PERCENT) < percent

    /** Draws a random delay in milliseconds: short in most cases, otherwise less than [maxMillis]. */
    fun randomDelayMillis(maxMillis: Long) =
        if (randomBoolean(SHORT_PERCENT)) random.nextLong(SHORT_MILLIS) else random.nextLong(maxMillis)

    fun run(untilMillis: Long) {
        while (events.isNotEmpty() && events.peek().atMillis <= untilMillis) {
            val event = events.poll()
            timeSource += (event.atMillis - nowMillis).milliseconds
            nowMillis = event.atMillis
            event.action()
        }
    }

    private companion object {
        const val PERCENT = 100
        const val SHORT_PERCENT = 70
        const val SHORT_MILLIS = 20L
    }
}

/** Simulates a process that can be paused and killed. */
class SimulatedProcess(private val simulation: Simulation) {
    var isAlive = true
    private var pausedUntilMillis = 0L

    fun pause(millis: Long) {
        pausedUntilMillis = simulation.nowMillis + millis
    }

    /** Runs [action] after [delayMillis], or once a pause of the process has ended; never if the process was killed. */
    fun schedule(delayMillis: Long, action: () -> Unit): Unit = simulation.schedule(delayMillis) {
        when {
            !isAlive -> Unit
            simulation.nowMillis < pausedUntilMillis -> schedule(pausedUntilMillis - simulation.nowMillis, action)
            else -> action()
        }
    }
}
