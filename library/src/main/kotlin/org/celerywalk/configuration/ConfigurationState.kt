package org.celerywalk.configuration

import arrow.core.Either
import arrow.core.right

/** The latest configuration known to this process; its version never decreases. Thread-safe. */
public class ConfigurationState(private val codec: DocumentCodec) {
    private data class Snapshot(val document: Document, val configuration: Configuration?)

    @Volatile
    private var snapshot = Snapshot(Document.EMPTY, null)

    /** Text of the configuration in force; [Document.EMPTY] before the first one. */
    public val document: Document get() = snapshot.document

    /** The configuration in force, null before the first one. */
    public val configuration: Configuration? get() = snapshot.configuration

    /** Adopts [document] if its version is newer. Returns the adopted configuration, or null if it is not newer. */
    @Synchronized
    public fun adoptIfNewer(document: Document): Either<List<Fault>, Configuration?> {
        if (document.version <= snapshot.document.version) return null.right()
        return document.parse(codec, "configuration ${document.version}")
            .onRight { snapshot = Snapshot(document, it) }
    }

    /** Merges sections received from a peer into the current document; of each section the newer text is kept. */
    public fun mergeSections(version: Long, receivedSections: Map<Team, SectionText>): Document {
        val currentDocument = document
        val sections = (currentDocument.sections.keys + receivedSections.keys).associateWith { team ->
            listOfNotNull(currentDocument.sections[team], receivedSections[team]).maxBy { it.version }
        }
        return Document(maxOf(version, currentDocument.version), sections)
    }
}
