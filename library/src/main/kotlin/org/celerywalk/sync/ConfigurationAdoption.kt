package org.celerywalk.sync

import org.celerywalk.configuration.Configuration
import org.celerywalk.configuration.Document
import java.util.concurrent.CopyOnWriteArrayList

/** Adopts newer configurations and notifies the listeners. */
internal class ConfigurationAdoption(private val context: SyncContext) {
    // Listeners can be added on any thread. A listener that reads the configuration after being added misses no change.
    private val listeners = CopyOnWriteArrayList<(Configuration) -> Unit>()

    fun addListener(listener: (Configuration) -> Unit) {
        listeners += listener
    }

    /**
     * Adopts [document] if it is newer; called on the executor of [SyncContext] only.
     *
     * A document without the section that its version last changed is incomplete and is not adopted.
     */
    fun adopt(document: Document) {
        val sections = document.sections.values
        if (sections.maxOfOrNull { it.version } != document.version) {
            context.report("event=configuration_incomplete version=${document.version}")
            return
        }
        context.state.adoptIfNewer(document).fold(
            { context.report("event=configuration_refused version=${document.version} fault=\"${it.first()}\"") },
            { adopted -> adopted?.let { configuration -> listeners.forEach { it(configuration) } } },
        )
    }
}
