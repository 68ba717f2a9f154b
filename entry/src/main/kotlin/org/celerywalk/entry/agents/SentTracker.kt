package org.celerywalk.entry.agents

import io.grpc.Attributes
import io.grpc.ClientStreamTracer
import io.grpc.Metadata

/**
 * Records whether a call may have left this process.
 *
 * gRPC reports the creation of a stream before it writes the first byte. A call that fails without this report, for
 * example because the connection was refused, has not reached its agent and never will.
 */
internal class SentTracker : ClientStreamTracer.Factory() {
    @Volatile
    var wasSent: Boolean = false
        private set

    override fun newClientStreamTracer(info: ClientStreamTracer.StreamInfo, headers: Metadata): ClientStreamTracer =
        object : ClientStreamTracer() {
            override fun streamCreated(transportAttributes: Attributes, metadata: Metadata) {
                wasSent = true
            }
        }
}
