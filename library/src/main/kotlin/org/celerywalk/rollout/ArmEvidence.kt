package org.celerywalk.rollout

/** Responses of one arm of a roll-out: how many, how many of them were failures, and how many were slow. */
public data class ArmEvidence(val responses: Long = 0, val failures: Long = 0, val slow: Long = 0) {
    public operator fun plus(other: ArmEvidence): ArmEvidence =
        ArmEvidence(responses + other.responses, failures + other.failures, slow + other.slow)

    public operator fun minus(other: ArmEvidence): ArmEvidence =
        ArmEvidence(responses - other.responses, failures - other.failures, slow - other.slow)

    /** Returns the greater of each count, since counts only grow. */
    public fun merge(other: ArmEvidence): ArmEvidence =
        ArmEvidence(maxOf(responses, other.responses), maxOf(failures, other.failures), maxOf(slow, other.slow))
}

/** Responses of both arms on one route: the [old] replicas and those of the new version. */
public data class RouteEvidence(val old: ArmEvidence = ArmEvidence(), val new: ArmEvidence = ArmEvidence()) {
    public operator fun plus(other: RouteEvidence): RouteEvidence = RouteEvidence(old + other.old, new + other.new)

    public operator fun minus(other: RouteEvidence): RouteEvidence = RouteEvidence(old - other.old, new - other.new)

    /** Returns the greater of each count, since counts only grow. */
    public fun merge(other: RouteEvidence): RouteEvidence =
        RouteEvidence(old.merge(other.old), new.merge(other.new))
}
