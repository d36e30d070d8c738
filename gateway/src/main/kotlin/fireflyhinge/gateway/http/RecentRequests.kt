package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpMethod

/** The last requests with an id that a connection carried. */
internal class RecentRequests {
    private val methods = LinkedHashMap<String, HttpMethod>()

    /** Adds request [id] with [method]; the oldest one is forgotten. */
    fun add(id: String, method: HttpMethod) {
        methods.remove(id)
        methods[id] = method
        if (methods.size > MOST) methods.remove(methods.keys.first())
    }

    operator fun contains(id: String): Boolean = id in methods

    /** Method of request [id], or null if it is not known. */
    fun methodOf(id: String): HttpMethod? = methods[id]

    private companion object {
        /** Requests whose second answers may still come; servers answer twice at the next request at the earliest. */
        const val MOST = 64
    }
}
