package fireflyhinge.daemon.settings

/** An IP address or host name and a TCP port; port 0 picks a free one when listening. */
data class HostPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`, or returns null when [text] does not have this form. */
        fun parse(text: String): HostPort? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()
            return if (host.isBlank() || port == null || port !in 0..MAX_PORT) null else HostPort(host, port)
        }
    }
}
