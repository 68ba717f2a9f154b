package org.celerywalk.routing

/**
 * Assigns each cache of a fleet to the one instance that reads its events and reports them to the others, by rendezvous
 * hashing. Instances that know different peers may disagree for a moment; a cache then has two readers or none.
 */
public object CacheReaders {
    /** Whether [instance] is the one that reads the events of [holder]; [peers] are the other instances. */
    public fun isReader(instance: String, holder: String, peers: Collection<String>): Boolean {
        val key = holder.hashCode().toLong()
        val ownWeight = Rendezvous.weight(key, instance)
        return peers.none { Rendezvous.weight(key, it) > ownWeight }
    }
}
