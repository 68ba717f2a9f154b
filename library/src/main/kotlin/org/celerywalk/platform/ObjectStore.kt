package org.celerywalk.platform

import arrow.core.Either
import org.celerywalk.table.TableError
import java.util.concurrent.CompletableFuture

/** Client for the platform's object store, which reads and writes whole objects by name. */
public interface ObjectStore {
    /** Reads the object [name]; the result is null if there is none. */
    public fun get(name: String): CompletableFuture<Either<TableError, ByteArray?>>

    /** Creates or replaces the object [name]. */
    public fun put(name: String, content: ByteArray): CompletableFuture<Either<TableError, Unit>>
}
