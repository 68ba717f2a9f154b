package org.celerywalk.entry

/** Host and port that a server listens on; port 0 selects a free port. */
internal data class ListenAddress(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        /** Parses `host:port`; throws [IllegalArgumentException] if [text] has no numeric port. */
        fun parse(text: String): ListenAddress {
            val port = text.substringAfterLast(":", "").toIntOrNull()
            require(port != null) { "given address '$text', expected host:port" }
            return ListenAddress(text.substringBeforeLast(":"), port)
        }
    }
}
