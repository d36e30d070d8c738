package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse

/** The heads that came last on a connection in answers that name no request. */
internal class RecentHeads {
    private val heads = ArrayDeque<String>()

    /** Adds [head] and forgets the oldest one. */
    fun add(head: HttpResponse) {
        heads += summary(head)
        if (heads.size > MOST) heads.removeFirst()
    }

    /** Removes a head that cannot be told from [head]. False if there is none. */
    fun remove(head: HttpResponse): Boolean = heads.remove(summary(head))

    /** What two answers to one request have in common; the values of some fields tell a time. */
    private fun summary(head: HttpResponse): String {
        val length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH)
        return "${head.status().code()} $length ${head.headers().names().sorted()}"
    }

    private companion object {
        /** Answers that may still come a second time; servers answer twice at the next request at the earliest. */
        const val MOST = 64
    }
}
