package org.celerywalk.cli

import com.github.ajalt.clikt.core.CliktError

/** Exit codes of all commands; [meaning] is printed in the help. */
internal enum class ExitCode(val meaning: String) {
    OK("success, or nothing to do"),
    USAGE("invalid options or arguments; for 'fleet check' also: warnings but no errors"),
    INVALID("a file, an argument or the resulting document is invalid; all errors are listed"),
    CONFLICT("the section has changed since the version on which the change is based"),
    FORBIDDEN("the token is unknown or its team does not own the section"),
    UNAVAILABLE("no answer; the change may have been applied and can be retried with the same --change-id"),
    PARTIAL("some entries did not confirm a withdrawal; they are listed"),
    ;

    /** Exit code of the process. Scripts rely on it, so add new constants at the end. */
    val code: Int get() = ordinal
}

/** Returns the error that ends the command with exit code [code] and prints [message] on standard error. */
internal fun failure(code: ExitCode, message: String, cause: Exception? = null) =
    CliktError(message, cause, statusCode = code.code)
