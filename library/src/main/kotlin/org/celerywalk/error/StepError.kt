package org.celerywalk.error

/** Error that names the step that failed and the peer at which it failed. */
public interface StepError {
    /** Step of the operation, for example `claim booking`. */
    public val step: String

    /** Instance, endpoint or platform service that was called. */
    public val peer: String

    /** States the given and the expected value or condition. */
    public val message: String
}
