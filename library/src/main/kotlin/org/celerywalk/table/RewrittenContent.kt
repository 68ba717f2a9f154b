package org.celerywalk.table

/**
 * Tells whether the content of a row was written again since the store came back from an older copy.
 *
 * It was if the row has a version that no row with this content had in an earlier era. This instance knows the versions
 * of all earlier eras only if it knows the first one and has read the row in each era since, once its content was
 * settled ([recordSettled]). Otherwise it takes the content for not written again. Not thread-safe.
 */
public class RewrittenContent(private val era: StoreEra) {
    private var versions = emptySet<Long>()
    private var settledIn: Long? = null

    // An era in which the content was not settled may have rows of it that this instance has not read.
    private val areVersionsKnown: Boolean get() = settledIn?.let { era.number - it in 0..1 } ?: false

    /**
     * Records that the row has got other content, at [version].
     *
     * @param isFirstWrite true if no earlier row can have had this content.
     */
    public fun recordContent(version: Long, isFirstWrite: Boolean) {
        versions = setOf(version)
        settledIn = era.number.takeIf { isFirstWrite }
    }

    /** Records that the row has the same content at [version]; returns true if it was written in the current era. */
    public fun recordSameContent(version: Long): Boolean {
        if (version in versions) return false
        versions = versions + version
        return areVersionsKnown
    }

    /** Records that the content will not be written again in the current era. */
    public fun recordSettled() {
        settledIn = era.number.takeIf { areVersionsKnown }
    }
}
