package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaders

/**
 * A request that was read completely.
 *
 * @property uri request target as it was sent.
 * @property arrivedMillis monotonic time at which its head was read.
 */
class CallerRequest(
    val method: String,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteArray,
    val arrivedMillis: Long,
) {
    /** Connections to servers on which the request was sent. */
    internal val sentOn = HashSet<OutboundConnection>()
}
