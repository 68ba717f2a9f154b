package org.celerywalk.error

/** Whether the work behind an answer or a refusal was executed. */
public enum class Execution(
    /** Value of the machine-readable error field. */
    public val wireName: String,
) {
    /** The work was not executed and can no longer be executed by this attempt. */
    NOT_RUN("not_run"),

    /** The work was executed. */
    RAN("ran"),

    /** It is unknown whether the work was executed. */
    UNKNOWN("unknown"),
}
