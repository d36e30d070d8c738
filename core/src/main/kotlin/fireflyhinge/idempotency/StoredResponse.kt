package fireflyhinge.idempotency

/**
 * The response to a completed call, stored for retries.
 *
 * @property headers the stored headers; see [KEPT_HEADERS].
 * @property body the body in Base64, or null when it was over [MAX_BODY_BYTES].
 */
data class StoredResponse(val status: Int, val headers: Map<String, String>, val body: String?) {
    /** Which parts of a response are stored. */
    companion object {
        /** Largest body that is stored, in bytes. */
        const val MAX_BODY_BYTES: Int = 65_536

        /** Headers that are stored, in lower case. Cookies are not, since a retry may belong to another session. */
        val KEPT_HEADERS: Set<String> =
            setOf("content-type", "content-language", "content-encoding", "etag", "location", "retry-after")
    }
}
