package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpMethod

/** The most recent requests with an id that a connection carried. */
internal class RecentRequests {
    private val methods = LinkedHashMap<String, HttpMethod>()

    /** Adds request [id] with [method] and evicts the oldest one if the limit is exceeded. */
    fun add(id: String, method: HttpMethod) {
        methods.remove(id)
        methods[id] = method
        if (methods.size > MAX_REQUESTS) methods.remove(methods.keys.first())
    }

    operator fun contains(id: String): Boolean = id in methods

    /** Method of request [id], or null if it is unknown. */
    fun methodOf(id: String): HttpMethod? = methods[id]

    private companion object {
        /** Requests with responses that may still be repeated, at the earliest when the next request is sent. */
        const val MAX_REQUESTS = 64
    }
}
