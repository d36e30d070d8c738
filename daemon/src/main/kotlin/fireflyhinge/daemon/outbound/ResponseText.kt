package fireflyhinge.daemon.outbound

import okhttp3.Response
import java.io.IOException

/** The whole body as text. Bounded here too, because OkHttp decompresses bodies. */
internal fun Response.text(): String {
    val tooLong = body.source().request(OutboundHttp.MAX_ANSWER_BYTES + 1)
    if (tooLong) throw IOException("the answer is longer than its limit")
    return body.string()
}
