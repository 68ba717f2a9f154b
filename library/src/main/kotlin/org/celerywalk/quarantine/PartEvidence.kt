package org.celerywalk.quarantine

import kotlin.time.Duration

/**
 * What an instance knows of a prompt part that was in requests under which endpoints crashed.
 *
 * @property crashes crashes by the start of the endpoint that crashed.
 * @property answerAge time since the beginning of the instance's last answer to a request with the part that its
 *   endpoint has outlived, or null if there is none.
 * @property unprovenAnswerAges time since the beginning of each later answer, by the start of the endpoint that gave
 *   it; a crash of the endpoint may still take it back.
 * @property trialAge time since the instance last let a request with the part pass on trial, or null if it has not.
 */
public data class PartEvidence(
    val crashes: Map<String, CrashAges>,
    val answerAge: Duration? = null,
    val unprovenAnswerAges: Map<String, Duration> = emptyMap(),
    val trialAge: Duration? = null,
)
