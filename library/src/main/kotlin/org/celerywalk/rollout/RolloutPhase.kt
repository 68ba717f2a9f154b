package org.celerywalk.rollout

/** Phase of a roll-out. A phase is followed only by later ones; the last two are final. */
public enum class RolloutPhase {
    /** The new version gets a limited share of the requests. */
    CANARY,

    /** All requests go to the new version; requests that run at the old replicas end there. */
    PROMOTING,

    /** The old replicas may be stopped. */
    COMPLETED,

    /** All requests go to the old replicas. */
    ROLLED_BACK,
    ;

    /** True if no other phase follows. */
    public val isFinal: Boolean get() = this >= COMPLETED

    /** Returns the later of this phase and [reported]. A final phase stays, so that a late report changes nothing. */
    public fun advance(reported: RolloutPhase): RolloutPhase =
        if (isFinal) this else maxOf(this, reported)
}
