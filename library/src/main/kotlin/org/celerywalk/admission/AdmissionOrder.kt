package org.celerywalk.admission

/**
 * Order in which requests get room: by rank, then by the service of their account, then by their latest start, then by
 * their work. It changes with the service of the accounts.
 */
internal class AdmissionOrder(private val shares: FairShares) : Comparator<AdmissionRequest> {
    override fun compare(first: AdmissionRequest, second: AdmissionRequest): Int {
        val byRank = first.rank.compareTo(second.rank)
        val byAccount =
            if (byRank != 0 || first.account == second.account) byRank else compareService(first, second)
        return if (byAccount != 0) byAccount else compareUrgency(first, second)
    }

    private fun compareService(first: AdmissionRequest, second: AdmissionRequest) =
        shares.counter(first.account).compareTo(shares.counter(second.account))

    private fun compareUrgency(first: AdmissionRequest, second: AdmissionRequest) =
        compareValuesBy(first, second, { it.latestStart }, { it.work })
}
