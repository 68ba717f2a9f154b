package org.celerywalk.standins.table

/**
 * Faults that the table stand-in injects.
 *
 * @property outage `none`, `refuse` (503 without executing the call), `hang` (no response while it is set; the call is
 *   handled afterwards) or `cut` (the connection is closed without executing the call).
 * @property slowMillis delay in milliseconds before each call is handled.
 * @property loseAnswers number of upcoming transactions that are committed and whose connection is then closed without
 *   a response.
 * @property oldReadsMillis age in milliseconds of the state that reads and scans return.
 */
public data class TableFaults(
    public val outage: String = "none",
    public val slowMillis: Long = 0,
    public val loseAnswers: Int = 0,
    public val oldReadsMillis: Long = 0,
)
