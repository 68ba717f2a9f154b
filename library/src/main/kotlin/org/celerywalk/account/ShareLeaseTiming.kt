package org.celerywalk.account

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of the share leases.
 *
 * @property validity time for which a holder uses its share, counted from before the last confirmed renewal was sent.
 *   It is also the longest table outage during which requests are still admitted at the full rate.
 * @property renewalInterval time between renewals.
 * @property takeoverMargin time beyond [validity] before other processes take over an unrenewed share. It covers clock
 *   drift and outstanding loans.
 */
public data class ShareLeaseTiming(
    public val validity: Duration = 600.seconds,
    public val renewalInterval: Duration = 30.seconds,
    public val takeoverMargin: Duration = 30.seconds,
)
