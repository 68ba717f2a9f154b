package org.celerywalk.http.strict

/** Sizes in bytes of the buffers that the operating system keeps for a connection; Linux doubles them. */
public data class SocketBuffers(public val receiveBytes: Int, public val sendBytes: Int)
