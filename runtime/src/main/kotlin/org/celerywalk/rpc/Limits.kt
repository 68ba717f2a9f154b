package org.celerywalk.rpc

/** Version of the protocol between processes. `Hello` refuses peers with another version. */
public const val PROTOCOL_VERSION: Int = 1

/** Maximum size of a message between processes, in bytes. */
public const val MAX_MESSAGE_BYTES: Int = 4 * 1024 * 1024
