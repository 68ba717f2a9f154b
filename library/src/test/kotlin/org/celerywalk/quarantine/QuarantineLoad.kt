package org.celerywalk.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Load of one schedule.
 *
 * @property requestsPerSecond requests of all callers together.
 * @property deadlyShare share of the requests that have a deadly part.
 * @property deadlyParts number of deadly parts.
 * @property firstParts number of first parts, which all requests share.
 * @property canRetry whether an instance sends a request again that an endpoint lost before it answered.
 * @property secondParts number of second parts of sound requests.
 * @property crashesAfterFirstEvent whether an endpoint begins to answer before a deadly part crashes it.
 * @property faults what else happens to endpoints and instances.
 */
internal data class QuarantineLoad(
    val instances: Int,
    val endpoints: Int,
    val requestsPerSecond: Int,
    val deadlyShare: Double,
    val deadlyParts: Int,
    val firstParts: Int,
    val canRetry: Boolean,
    val secondParts: Int = 300,
    val crashesAfterFirstEvent: Boolean = false,
    val faults: QuarantineFaults = QuarantineFaults(),
)

/**
 * Faults of one schedule that no prompt part is to blame for.
 *
 * @property outages crashes of several endpoints at once.
 * @property stops planned ends of single endpoints, which finish the requests that they have.
 * @property losses losses of single machines, whose connections go silent.
 * @property restartAll time at which all instances start again, with what the store holds, or null.
 * @property maxReportDelay longest time that a message between instances takes.
 * @property maxNoticeDelay longest time after a crash until an instance notices the loss of a connection.
 */
internal data class QuarantineFaults(
    val outages: List<Outage> = listOf(Outage(30.seconds, share = 0.5)),
    val stops: List<Duration> = emptyList(),
    val losses: List<Duration> = emptyList(),
    val restartAll: Duration? = null,
    val maxReportDelay: Duration = ZERO,
    val maxNoticeDelay: Duration = ZERO,
)

/** Crash of a [share] of the endpoints [at] a time since the start, within [spread]. */
internal data class Outage(val at: Duration, val share: Double, val spread: Duration = 0.milliseconds)

/**
 * What one schedule showed.
 *
 * @property sentTooLate requests by deadly part that were sent later than the contact bound after its fifth crash, by
 *   instances that had run for that long.
 * @property soundServed share of the sound requests that began at their first attempt, from twice the contact bound
 *   after the last crash on.
 * @property soundRefused sound requests that were refused because of a part.
 * @property longestRefusal longest time from the first refusal because of a sound part to a request with it that was
 *   sent, or to the end.
 */
internal data class QuarantineHistory(
    val crashes: Int,
    val sentTooLate: Map<String, Int>,
    val soundServed: Double,
    val soundRefused: Int,
    val longestRefusal: Duration,
)
