package org.celerywalk.gateway

import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a duty of the gateway that ends unnoticed while its process goes on. */
class PeriodicTaskTest {
    /** Error whose log line cannot be written. */
    private class UnprintableError : Error() {
        override val message: String get() = throw OutOfMemoryError("simulated")
    }

    @Test
    fun `a task runs again after an error, also one that cannot be logged`() {
        listOf(IllegalStateException("odd"), OutOfMemoryError("simulated"), UnprintableError()).forEach { error ->
            val runs = CountDownLatch(3)
            val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
            val task = PeriodicTask("test", 1.milliseconds, log) {
                runs.countDown()
                throw error
            }
            task.use {
                it.start()
                assertTrue(runs.await(5, TimeUnit.SECONDS), error.javaClass.name)
            }
        }
    }

    @Test
    fun `a run that is asked for does not wait for the delay, also if it is asked for during a run`() {
        val runs = CountDownLatch(3)
        val log = EventLog("test", PrintStream(OutputStream.nullOutputStream()))
        lateinit var task: PeriodicTask
        task = PeriodicTask("test", 1.hours, log) {
            runs.countDown()
            if (runs.count == 1L) task.runSoon()
        }
        task.use {
            it.start()
            awaitUntil { runs.count == 2L }
            it.runSoon()
            assertTrue(runs.await(5, TimeUnit.SECONDS))
        }
    }
}
