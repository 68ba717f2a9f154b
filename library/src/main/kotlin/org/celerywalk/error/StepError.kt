package org.celerywalk.error

/** Error that names the step that failed and the peer at which it failed. */
public interface StepError {
    /** Step of the operation, for example `claim booking`. */
    public val step: String

    /** Instance, endpoint or platform service that was called. */
    public val peer: String

    /** States the value or state that was found and the one that was expected. */
    public val message: String
}
