package org.celerywalk.http.strict

import java.io.IOException

/** A peer sent bytes that are no response in HTTP/1.1, or that belong to no request. */
public class MalformedResponseException(message: String) : IOException(message)
