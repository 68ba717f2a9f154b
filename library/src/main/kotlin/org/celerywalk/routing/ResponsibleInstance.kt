package org.celerywalk.routing

/**
 * Assigns each duty of a fleet, such as reading the events of one cache, to one instance by rendezvous hashing.
 *
 * Instances that know different peers may disagree for a moment; a duty then has two responsible instances or none.
 */
public object ResponsibleInstance {
    /** Returns true if [instance] is responsible for the duty [key]; [peers] are the other instances. */
    public fun isResponsible(instance: String, key: String, peers: Collection<String>): Boolean {
        val hash = key.hashCode().toLong()
        val ownWeight = Rendezvous.weight(hash, instance)
        return peers.none { Rendezvous.weight(hash, it) > ownWeight }
    }
}
