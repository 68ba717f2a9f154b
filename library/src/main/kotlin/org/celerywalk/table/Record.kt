package org.celerywalk.table

/**
 * Value of a key in the table, with its version.
 *
 * @property version grows with every commit that writes the key and is never reused, not even after a delete.
 */
public data class Record(public val value: String, public val version: Long)
