package fireflyhinge.daemon.service

/**
 * A request to a plain service.
 *
 * @property path path for the upstream, percent-encoded as it came.
 * @property query query without the question mark, or null.
 * @property headers headers for the upstream; none of them carries the caller's key.
 */
class ServiceRequest(
    val method: String,
    val path: String,
    val query: String?,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)
