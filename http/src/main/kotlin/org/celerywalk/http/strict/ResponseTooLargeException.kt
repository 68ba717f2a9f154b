package org.celerywalk.http.strict

import java.io.IOException

/** A peer sent more bytes than are accepted. */
public class ResponseTooLargeException(message: String) : IOException(message)
