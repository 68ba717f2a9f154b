package org.celerywalk.bench.admission

/** Prompt tokens that the gateways have sent to each replica and that are not read, by gateway and priority. */
internal class FleetWork(private val replicas: Int, private val gateways: Int) {
    private val own = table()
    private val reported = table()

    fun add(gateway: Int, replica: Int, priority: Int, tokens: Long) {
        own[gateway][replica][priority] += tokens
    }

    /** Makes the work of each gateway known to the others. */
    fun report() {
        own.forEachIndexed { gateway, work ->
            work.forEachIndexed { replica, tokens -> tokens.copyInto(reported[gateway][replica]) }
        }
    }

    /** Returns the tokens of [priorities] at [replica] that [gateway] knows of. */
    fun tokens(gateway: Int, replica: Int, priorities: List<Int>): Long =
        own.indices.sumOf { sender ->
            val work = if (sender == gateway) own[sender][replica] else reported[sender][replica]
            priorities.sumOf { work[it] }
        }

    private fun table() = List(gateways) { List(replicas) { LongArray(PRIORITIES) } }

    companion object {
        const val LOWEST_PRIORITY = 9
        private const val PRIORITIES = 10
    }
}
