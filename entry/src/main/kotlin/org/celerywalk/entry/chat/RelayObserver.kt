package org.celerywalk.entry.chat

import kotlin.time.Duration

/** Receives the events of relays for logs and metrics. */
internal interface RelayObserver {
    /** An attempt was sent to [target]; [resumeOffset] is the number of tokens that were forwarded before it. */
    fun onAttempt(generation: Generation, target: SelectedReplica, resumeOffset: Int)

    /** The engine of [target] crashed before the first token, which put [quarantinedParts] parts in quarantine. */
    fun onEngineCrash(generation: Generation, target: SelectedReplica, quarantinedParts: Int)

    fun onFirstToken(generation: Generation, elapsed: Duration)

    fun onEnd(generation: Generation, relayEnd: RelayEnd, usage: Usage, elapsed: Duration)
}

/** Outcome of a relay. */
internal enum class RelayEnd { COMPLETE, FAILED, DISCONNECTED, CUT, STOPPED }
