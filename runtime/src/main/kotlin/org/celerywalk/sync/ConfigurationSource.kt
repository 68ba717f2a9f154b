package org.celerywalk.sync

import org.celerywalk.configuration.Configuration

/** Source of the configuration that is in force in this process. */
public interface ConfigurationSource {
    /** Returns the latest known configuration, null until the first one has arrived. */
    public fun current(): Configuration?

    /** Calls [listener] after each change, in version order, on the thread of the configuration synchronisation. */
    public fun onChange(listener: (Configuration) -> Unit)
}
