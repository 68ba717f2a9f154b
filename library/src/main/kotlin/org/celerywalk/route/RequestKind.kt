package org.celerywalk.route

/** Says what may be repeated of a request. */
public enum class RequestKind {
    /** The request may run more than once. */
    IDEMPOTENT,

    /** The request may run at most once. */
    NON_IDEMPOTENT,

    /** The answer is an event stream; the request may run at most once unless its route allows resuming. */
    STREAMING,
}
