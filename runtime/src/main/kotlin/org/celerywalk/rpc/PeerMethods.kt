package org.celerywalk.rpc

import io.grpc.MethodDescriptor
import org.celerywalk.protocol.BorrowReply
import org.celerywalk.protocol.BorrowRequest
import org.celerywalk.protocol.ConfigurationReply
import org.celerywalk.protocol.ConfigurationRequest
import org.celerywalk.protocol.ExchangeReply
import org.celerywalk.protocol.ExchangeRequest
import org.celerywalk.protocol.WithdrawKeyReply
import org.celerywalk.protocol.WithdrawKeyRequest

/** Method descriptors of the `Peer` service in `celerywalk.proto`. */
public object PeerMethods {
    public const val SERVICE: String = "celerywalk.v1.Peer"

    public val EXCHANGE: MethodDescriptor<ExchangeRequest, ExchangeReply> =
        unaryMethod(SERVICE, "Exchange", ExchangeRequest.getDefaultInstance(), ExchangeReply.getDefaultInstance())

    public val CONFIGURATION: MethodDescriptor<ConfigurationRequest, ConfigurationReply> = unaryMethod(
        SERVICE,
        "Configuration",
        ConfigurationRequest.getDefaultInstance(),
        ConfigurationReply.getDefaultInstance(),
    )

    public val BORROW: MethodDescriptor<BorrowRequest, BorrowReply> =
        unaryMethod(SERVICE, "Borrow", BorrowRequest.getDefaultInstance(), BorrowReply.getDefaultInstance())

    public val WITHDRAW_KEY: MethodDescriptor<WithdrawKeyRequest, WithdrawKeyReply> = unaryMethod(
        SERVICE,
        "WithdrawKey",
        WithdrawKeyRequest.getDefaultInstance(),
        WithdrawKeyReply.getDefaultInstance(),
    )
}
