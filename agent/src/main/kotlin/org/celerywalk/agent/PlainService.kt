package org.celerywalk.agent

import org.celerywalk.booking.CallResult
import org.celerywalk.protocol.ServiceRequest
import java.util.concurrent.CompletableFuture

/** Calls a plain service once, without a retry. The future never fails; a failed call is a [CallResult]. */
public fun interface PlainService {
    public fun call(request: ServiceRequest): CompletableFuture<CallResult>
}
