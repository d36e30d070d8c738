package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse

/** Heads of the most recent responses without a request id on a connection. */
internal class RecentHeads {
    private val heads = ArrayDeque<String>()

    /** Adds [head] and evicts the oldest one if the limit is exceeded. */
    fun add(head: HttpResponse) {
        heads += summary(head)
        if (heads.size > MAX_HEADS) heads.removeFirst()
    }

    /** Removes a head that is indistinguishable from [head]. Returns false if there is none. */
    fun remove(head: HttpResponse): Boolean = heads.remove(summary(head))

    /** What two responses to one request have in common. Field values are left out, since some contain a time. */
    private fun summary(head: HttpResponse): String {
        val length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH)
        return "${head.status().code()} $length ${head.headers().names().sorted()}"
    }

    private companion object {
        /** Responses that may still be repeated; servers repeat a response at the next request at the earliest. */
        const val MAX_HEADS = 64
    }
}
