package org.celerywalk.http.server

import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.internal.HttpConnection

/**
 * True if bytes of the caller's next request have left the socket, so that it has to be answered before the connection
 * ends.
 *
 * Valid once the body of this request was read, on a connection of a [GracefulConnector].
 */
public val Request.isNextRequestAhead: Boolean
    get() {
        val connection = connectionMetaData.connection
        return (connection.endPoint as GracefulEndPoint).hasBytesAhead ||
            !(connection as HttpConnection).isRequestBufferEmpty
    }
