package org.celerywalk.http

import kotlin.time.Duration

/**
 * Limits on the calls to one HTTP peer.
 *
 * @property connectTimeout maximum time to open a connection.
 * @property callTimeout maximum duration of a whole call, including the response body.
 * @property maxConcurrentCalls maximum number of concurrent calls; each uses a thread while it runs.
 * @property maxQueuedCalls maximum number of queued calls; further calls fail at once.
 */
public data class HttpLimits(
    public val connectTimeout: Duration,
    public val callTimeout: Duration,
    public val maxConcurrentCalls: Int,
    public val maxQueuedCalls: Int,
)
