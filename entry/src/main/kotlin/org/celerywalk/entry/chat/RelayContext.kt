package org.celerywalk.entry.chat

import org.celerywalk.quarantine.PromptPartQuarantine
import org.celerywalk.settings.EntryLimits
import kotlin.time.TimeSource

/** Objects that all relays of a process share. */
internal class RelayContext(
    val replicaSelector: ReplicaSelector,
    val quarantine: PromptPartQuarantine,
    val observer: RelayObserver,
    val limits: EntryLimits,
    val timeSource: TimeSource.WithComparableMarks,
    val wallClock: () -> Long,
)
