package org.celerywalk.admission

import kotlin.time.Duration

/** Estimates when the replicas of a service have room for a request. */
public fun interface RoomEstimate {
    /**
     * Returns the expected time until a replica starts [request] if it is sent now, counting only the work that the
     * replica does before it, or null if no replica accepts it.
     */
    public fun timeToStart(request: AdmissionRequest): Duration?
}
