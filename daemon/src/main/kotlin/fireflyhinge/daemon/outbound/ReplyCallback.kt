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
        try {
            exchange.complete(Exchange.Answered(HttpReply(status = response.code, body = response.use { it.text() })))
        } catch (e: IOException) {
            exchange.complete(Exchange.NoAnswer(e.summary()))
        } finally {
            // Nobody else would end the wait for it after another failure, which OkHttp logs.
            exchange.complete(Exchange.NoAnswer("the answer could not be read"))
        }
    }
}
