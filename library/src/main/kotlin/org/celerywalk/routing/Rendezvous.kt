package org.celerywalk.routing

import org.celerywalk.endpoint.ReplicaSummary

/** Ranks replicas for a prefix by rendezvous hashing, so that all entries agree without exchanging state. */
internal object Rendezvous {
    private const val MULTIPLIER_1 = -0x40a7b892e31b1a47L
    private const val MULTIPLIER_2 = -0x6b2fb644ecceee15L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31

    /** Up to this count, insertion into a short array is cheaper than a sort of all replicas. */
    private const val MAX_INSERTION_COUNT = 16

    /** Returns the [count] replicas with the largest hash of replica and [piece], largest first. */
    fun top(piece: Long, count: Int, replicas: List<ReplicaSummary>): List<ReplicaSummary> =
        if (count > MAX_INSERTION_COUNT) {
            replicas.sortedByDescending { weight(piece, it) }.take(count)
        } else {
            topByInsertion(piece, count, replicas)
        }

    private fun topByInsertion(piece: Long, count: Int, replicas: List<ReplicaSummary>): List<ReplicaSummary> {
        val best = arrayOfNulls<ReplicaSummary>(count)
        val weights = LongArray(count) { Long.MIN_VALUE }
        for (replica in replicas) {
            val weight = weight(piece, replica)
            var position = count
            while (position > 0 && (best[position - 1] == null || weights[position - 1] < weight)) position--
            if (position < count) {
                best.copyInto(best, position + 1, position, count - 1)
                weights.copyInto(weights, position + 1, position, count - 1)
                best[position] = replica
                weights[position] = weight
            }
        }
        return best.filterNotNull()
    }

    private fun weight(piece: Long, replica: ReplicaSummary): Long = weight(piece, replica.replica)

    /** Returns the hash of [candidate] and [key]; candidates with the largest hashes are responsible for the key. */
    fun weight(key: Long, candidate: String): Long = mix(key xor mix(candidate.hashCode().toLong()))

    private fun mix(value: Long): Long {
        var mixed = (value xor (value ushr SHIFT_1)) * MULTIPLIER_1
        mixed = (mixed xor (mixed ushr SHIFT_2)) * MULTIPLIER_2
        return mixed xor (mixed ushr SHIFT_3)
    }
}
