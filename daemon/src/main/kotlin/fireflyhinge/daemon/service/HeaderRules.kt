package fireflyhinge.daemon.service

/** Decides which headers pass between callers and upstreams. */
internal object HeaderRules {
    private val hopByHop =
        setOf(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        )
    private val ownToUpstream = setOf("authorization", "host", "content-length", "expect", "x-request-id")
    private val ownToCaller = setOf("content-length", "x-request-id", "date")

    /** Headers for the upstream: none that belongs to this connection, and none that carries the caller's [key]. */
    fun toUpstream(headers: List<Pair<String, String>>, key: String?): List<Pair<String, String>> =
        pass(headers, ownToUpstream).filterNot { key != null && KeyGuard.carries(it.second, key) }

    /** Headers for the caller. */
    fun toCaller(headers: List<Pair<String, String>>): List<Pair<String, String>> = pass(headers, ownToCaller)

    private fun pass(headers: List<Pair<String, String>>, own: Set<String>): List<Pair<String, String>> {
        // A sender may name further headers that are meant for this connection only.
        val named =
            headers
                .filter { it.first.equals("connection", ignoreCase = true) }
                .flatMap { it.second.split(',') }
                .map { it.trim().lowercase() }
        val dropped = hopByHop + own + named
        return headers.filterNot { it.first.lowercase() in dropped }
    }
}
