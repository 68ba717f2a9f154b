package org.celerywalk.quarantine

import kotlin.time.Duration

/** Decision about a request with certain prompt parts. */
public sealed interface QuarantineDecision {
    /** No part is in quarantine. */
    public data object Admitted : QuarantineDecision

    /** [part] is in quarantine, and this request is sent to find out whether it still crashes endpoints. */
    public data class Trial(val part: String) : QuarantineDecision

    /** [part] is in quarantine; another request with it may be tried after [retryAfter]. */
    public data class Refused(val part: String, val retryAfter: Duration) : QuarantineDecision
}
