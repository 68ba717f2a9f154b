package org.celerywalk.route

/** Kind of a request, which determines whether it may be retried after it has run. */
public enum class RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT,

    /** The request may run at most once. */
    NON_IDEMPOTENT,

    /** The answer is an event stream; the request may run at most once unless its route allows resuming. */
    STREAMING,
}
