package org.celerywalk.key

import org.celerywalk.error.StepError

/** Authentication failure of a request. Its message never contains a key. */
public data class KeyError(public val problem: KeyProblem) : StepError {
    override val step: String = "authenticate"
    override val peer: String = "caller"
    override val message: String = problem.text
}

/** Reason why a request is not authenticated: [code] is machine-readable, [text] is the message for the caller. */
public enum class KeyProblem(public val code: String, public val text: String) {
    MISSING("missing_key", "no key was given; expected one in Authorization: Bearer or x-api-key"),
    SEVERAL("several_keys", "more than one key was given; expected exactly one"),
    IN_TARGET("key_in_target", "the path or the query string contains a key; expected it in a header"),
    IN_CONTENT("key_in_content", "the request contains its key outside the key header"),
    INVALID("invalid_key", "the key is not valid"),
    NOT_CONFIRMED("keys_not_confirmed", "this instance cannot confirm keys at the moment"),
}
