package fireflyhinge.daemon.outbound

import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.CompletableFuture

/** Reads the whole answer of one call. */
internal class ReplyCallback(private val mark: SendMark) : Callback {
    /** Completed exactly once. */
    val exchange = CompletableFuture<Exchange>()

    override fun onFailure(call: Call, e: IOException) {
        val notSent = Exchange.NotSent(reason = e.summary(), refused = e.isRefusedConnection())
        exchange.complete(if (mark.sent) Exchange.NoAnswer(e.summary()) else notSent)
    }

    override fun onResponse(call: Call, response: Response) {
        exchange.complete(
            try {
                Exchange.Answered(HttpReply(status = response.code, body = response.use { it.text() }))
            } catch (e: IOException) {
                Exchange.NoAnswer(e.summary())
            },
        )
    }
}
