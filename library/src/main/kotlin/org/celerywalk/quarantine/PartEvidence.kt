package org.celerywalk.quarantine

import kotlin.time.Duration

/**
 * What an instance knows of a prompt part that was in requests under which endpoints crashed.
 *
 * @property crashAges time since each crash, by the start of the endpoint that crashed.
 * @property answerAge time since the instance last received the beginning of an answer to a request with the part, or
 *   null if it has not.
 * @property trialAge time since the instance last let a request with the part pass on trial, or null if it has not.
 */
public data class PartEvidence(
    val crashAges: Map<String, Duration>,
    val answerAge: Duration? = null,
    val trialAge: Duration? = null,
)
