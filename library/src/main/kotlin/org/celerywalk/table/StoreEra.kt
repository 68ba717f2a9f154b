package org.celerywalk.table

import kotlin.properties.ReadOnlyProperty
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Era of the platform's store, which rises each time the store comes back from an older copy.
 *
 * In a new era, the rows written since the copy was made are gone, and their versions are given out again. What was
 * read or written in one era therefore says nothing about the rows of the next: the outcome of a call that spans two
 * eras is not used ([beginCall]), and what an instance remembers of the rows belongs to one era ([scoped]). What the
 * instance has taken over from the rows, such as the configuration in force, does not go back with them. Thread-safe.
 *
 * @param onRestored called with the number of each new era, before any outcome of a call of that era is used.
 */
public class StoreEra(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val onRestored: (Long) -> Unit = {},
) {
    internal class Current(val number: Long?) {
        @Volatile
        var servingSince: ComparableTimeMark? = null

        /** Number of responses of an earlier era to calls of this one since the last response of this one. */
        var contradictions = 0
    }

    @Volatile
    private var current: Current? = null

    /** Number of the current era, or 0 if the store has not told one. */
    public val number: Long get() = current?.number ?: 0

    /** Time since the store first carried out a call of this instance in the current era, or zero if it has not. */
    public val servingFor: Duration get() = current?.servingSince?.elapsedNow() ?: Duration.ZERO

    /** Number of times that this instance has seen the store come back from an older copy. */
    @Volatile
    public var restorations: Int = 0
        private set

    /**
     * True if the store may have come back from an older copy, also before this instance was started.
     *
     * A store whose eras begin at a higher number than [FIRST_ERA] is taken for one that has come back.
     */
    public val mayBeRestored: Boolean get() = restorations > 0 || number > FIRST_ERA

    /** Begins a call to the store. */
    public fun beginCall(): StoreCall = StoreCall(this, current, restorations)

    /**
     * Returns a property whose value belongs to one era: [create] makes it at its first use, and again in each new era.
     *
     * The argument of [create] is true if this instance has seen the store come back from an older copy.
     */
    public fun <T : Any> scoped(create: (isRestored: Boolean) -> T): ReadOnlyProperty<Any?, T> {
        val scope = EraScope(this, create)
        return ReadOnlyProperty { _, _ -> scope.value() }
    }

    /**
     * Records the era [number] of a response, null if it tells none; returns false if a later era is known.
     *
     * A response of an earlier era came late if its call began before the current era was known. To calls that begin
     * later, the store answers in the earlier era only if one of the numbers is wrong. After [MAX_CONTRADICTIONS] such
     * responses in a row it is that of the current era, which ends like any other.
     *
     * @param begunIn era that was known when the call began, or null if there was none.
     * @param isCarriedOut false if the store has refused the call, as it may do before others can use it again.
     */
    @Synchronized
    internal fun record(number: Long?, begunIn: Current?, isCarriedOut: Boolean): Boolean {
        val known = current
        val knownNumber = known?.number
        if (number != null && knownNumber != null && number < knownNumber) {
            if (begunIn !== known || ++known.contradictions < MAX_CONTRADICTIONS) return false
        }
        val era = known?.takeIf { number == null || number == knownNumber } ?: Current(number).also { current = it }
        if (number != null) era.contradictions = 0
        if (isCarriedOut && era.servingSince == null) era.servingSince = timeSource.markNow()
        if (knownNumber != null && era !== known) {
            onRestored(this.number)
            restorations++
        }
        return true
    }

    private companion object {
        const val FIRST_ERA = 1L
        const val MAX_CONTRADICTIONS = 2
    }
}

/** Call to the store, made in one era. A call may have several responses, such as the pages of a table. */
public class StoreCall internal constructor(
    private val era: StoreEra,
    private val begunIn: StoreEra.Current?,
    private val restorationsBefore: Int,
) {
    private var isUsable = true

    /** True if the store came back from an older copy during the call, whose outcome must not be used. */
    public val spansEras: Boolean get() = !isUsable || era.restorations != restorationsBefore

    /** True if a response told no era, although the store tells them; it may be of any. */
    public var isEraMissing: Boolean = false
        private set

    /**
     * Records a response that the store sent in the era [number], null if it does not tell its eras.
     *
     * @param isCarriedOut false if the response refuses the call.
     */
    public fun recordResponse(number: Long?, isCarriedOut: Boolean) {
        if (number == null && begunIn?.number != null) {
            isEraMissing = true
            return
        }
        if (!era.record(number, begunIn, isCarriedOut)) isUsable = false
    }
}

private class EraScope<T : Any>(private val era: StoreEra, private val create: (Boolean) -> T) {
    private var value: T? = null
    private var restorations = 0

    @Synchronized
    fun value(): T {
        val current = era.restorations
        return value?.takeIf { restorations == current } ?: create(current > 0).also {
            value = it
            restorations = current
        }
    }
}
