package fireflyhinge.idempotency

/**
 * The answer of a finished call, kept for repeats.
 *
 * @property headers the headers that are kept; see [KEPT_HEADERS].
 * @property body the body in Base64, or null when it was over [MAX_BODY_BYTES].
 */
data class StoredAnswer(val status: Int, val headers: Map<String, String>, val body: String?) {
    /** What is kept of an answer. */
    companion object {
        /** Largest body that is kept. */
        const val MAX_BODY_BYTES: Int = 65_536

        /** Headers that are kept, in lower case. Cookies are not, as a repeat may come from another session. */
        val KEPT_HEADERS: Set<String> =
            setOf("content-type", "content-language", "content-encoding", "etag", "location", "retry-after")
    }
}
