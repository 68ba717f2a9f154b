package org.celerywalk.platform

import arrow.core.Either
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

/** Client for the platform's list of instances, which can be out of date. */
public interface InstanceList {
    /** Returns the instances that the platform considers running. */
    public fun list(): CompletableFuture<Either<TableError, List<ListedInstance>>>
}

/** One listed instance. [address] is the host and port of its gRPC server. */
public data class ListedInstance(
    public val name: String,
    public val role: String,
    public val region: String,
    public val dataCentre: String,
    public val address: String,
    public val leaving: Boolean,
)
