package org.celerywalk.table

/**
 * Atomic change: all writes are applied if and only if all conditions hold.
 *
 * ```
 * Transaction(listOf(Condition.Absent("booking/a/1")), listOf(Write.Put("booking/a/1", "claimed")))
 * ```
 */
public data class Transaction(public val conditions: List<Condition>, public val writes: List<Write>)

/** Precondition on one key, checked when a transaction commits. */
public sealed interface Condition {
    public val key: String

    /** Requires that the key has no value. */
    public data class Absent(override val key: String) : Condition

    /** Requires that the key's record has [version]. */
    public data class VersionIs(override val key: String, public val version: Long) : Condition
}

/** Change of one key. */
public sealed interface Write {
    public val key: String

    /** Stores [value]. */
    public data class Put(override val key: String, public val value: String) : Write

    /** Deletes the key. */
    public data class Delete(override val key: String) : Write
}

/** Outcome of a transaction that the table answered. */
public sealed interface TransactionResult {
    /** All writes were applied. [version] is the new version of every written key. */
    public data class Committed(public val version: Long) : TransactionResult

    /** No write was applied. [current] holds the records of the condition keys; absent keys are missing. */
    public data class Conflict(public val current: Map<String, Record>) : TransactionResult
}
