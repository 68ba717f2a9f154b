package org.celerywalk.instance

import org.celerywalk.routing.ResponsibleInstance

/**
 * Decides which instances watch the platform's store for changes, so that the number of calls does not grow with the
 * number of instances.
 *
 * A few instances watch the store and tell the others, which then read the change themselves. Instances that know
 * different peers may choose different watchers; an instance that knows few peers watches by itself.
 *
 * @param peers returns the names of the other instances that this instance hears from.
 */
public class StoreWatch(private val instance: String, private val peers: () -> Set<String>) {
    /** True if some instances watch the store for the others. */
    public val isShared: Boolean get() = peers().size >= MIN_PEERS

    /** True if this instance is to watch the store. */
    public val isWatcher: Boolean
        get() {
            val known = peers()
            return known.size < MIN_PEERS || SEATS.any { ResponsibleInstance.isResponsible(instance, it, known) }
        }

    private companion object {
        // With fewer peers, one or two failures could leave no watcher.
        const val MIN_PEERS = 6
        val SEATS = List(4) { "store-watch-$it" }
    }
}
