package org.celerywalk.table

import org.celerywalk.error.StepError

/** Failure of a call to the table. */
public sealed interface TableError : StepError {
    /** The request was refused or never left this process; it has had no effect and will have none. */
    public data class NotApplied(
        override val step: String,
        override val peer: String,
        override val message: String,
    ) : TableError

    /** The answer was lost or late; the change may have taken effect or may yet take effect. */
    public data class OutcomeUnknown(
        override val step: String,
        override val peer: String,
        override val message: String,
    ) : TableError
}
