package org.celerywalk.key

import java.util.concurrent.ConcurrentHashMap

/**
 * Registry of open streams by caller that cuts streams whose key is no longer valid.
 *
 * [revalidate] is called several times a second. It checks every registered stream again, and so also finds a key that
 * was withdrawn between the authentication of a request and the registration of its stream.
 *
 * @param refusalReason returns the reason why a caller may no longer be served, or null if it may.
 */
public class OpenStreams(private val refusalReason: (Caller) -> KeyProblem?) {
    private val streams = ConcurrentHashMap.newKeySet<OpenStream>()

    /** Number of open streams. */
    public val size: Int get() = streams.size

    /** Registers a stream of [caller]; [cut] ends the stream and is called at most once. */
    public fun register(caller: Caller, cut: (KeyProblem) -> Unit): Registration {
        val stream = OpenStream(caller, cut)
        streams.add(stream)
        return stream
    }

    /** Cuts all streams whose caller may no longer be served; returns their number. */
    public fun revalidate(): Int {
        val problems = streams.map { it.caller }.distinct().associateWith(refusalReason)
        return streams.count { stream ->
            val problem = problems[stream.caller]
            (problem != null && streams.remove(stream)).also { removed -> if (removed) problem?.let(stream.cut) }
        }
    }

    /** Registration of one stream; [end] removes a finished stream from the registry. */
    public fun interface Registration {
        public fun end()
    }

    private inner class OpenStream(val caller: Caller, val cut: (KeyProblem) -> Unit) : Registration {
        override fun end() {
            streams.remove(this)
        }
    }
}
