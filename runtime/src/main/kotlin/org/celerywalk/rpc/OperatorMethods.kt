package org.celerywalk.rpc

import io.grpc.MethodDescriptor
import org.celerywalk.protocol.ApplyReply
import org.celerywalk.protocol.ApplyRequest
import org.celerywalk.protocol.ConfigurationReply
import org.celerywalk.protocol.EndpointListReply
import org.celerywalk.protocol.EndpointListRequest
import org.celerywalk.protocol.HistoryReply
import org.celerywalk.protocol.HistoryRequest
import org.celerywalk.protocol.ShowRequest
import org.celerywalk.protocol.WithdrawKeyReply
import org.celerywalk.protocol.WithdrawKeyRequest

/** Method descriptors of the `Operator` service in `celerywalk.proto`. */
public object OperatorMethods {
    public const val SERVICE: String = "celerywalk.v1.Operator"

    public val APPLY: MethodDescriptor<ApplyRequest, ApplyReply> =
        unaryMethod(SERVICE, "Apply", ApplyRequest.getDefaultInstance(), ApplyReply.getDefaultInstance())

    public val SHOW: MethodDescriptor<ShowRequest, ConfigurationReply> =
        unaryMethod(SERVICE, "Show", ShowRequest.getDefaultInstance(), ConfigurationReply.getDefaultInstance())

    public val HISTORY: MethodDescriptor<HistoryRequest, HistoryReply> =
        unaryMethod(SERVICE, "History", HistoryRequest.getDefaultInstance(), HistoryReply.getDefaultInstance())

    public val LIST_ENDPOINTS: MethodDescriptor<EndpointListRequest, EndpointListReply> = unaryMethod(
        SERVICE,
        "ListEndpoints",
        EndpointListRequest.getDefaultInstance(),
        EndpointListReply.getDefaultInstance(),
    )

    /** Same as [PeerMethods.WITHDRAW_KEY], for operators, who do not have the shared secret. */
    public val WITHDRAW_KEY: MethodDescriptor<WithdrawKeyRequest, WithdrawKeyReply> = unaryMethod(
        SERVICE,
        "WithdrawKey",
        WithdrawKeyRequest.getDefaultInstance(),
        WithdrawKeyReply.getDefaultInstance(),
    )
}
