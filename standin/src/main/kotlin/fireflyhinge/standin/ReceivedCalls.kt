package fireflyhinge.standin

import io.javalin.http.Context
import java.util.concurrent.ConcurrentLinkedDeque

/** The newest calls received, so that tests can check that no caller's key arrives. */
class ReceivedCalls {
    private val calls = ConcurrentLinkedDeque<ReceivedCall>()

    /** Calls received, oldest first. */
    fun list(): List<ReceivedCall> = calls.toList()

    internal fun add(ctx: Context) {
        val headers = ctx.headerMap().mapKeys { it.key.lowercase() }
        calls.addLast(ReceivedCall(method = ctx.method().name, path = ctx.path(), headers = headers))
        if (calls.size > MAX_CALLS) calls.pollFirst()
    }

    internal fun reset() = calls.clear()

    private companion object {
        const val MAX_CALLS = 1_000
    }
}
