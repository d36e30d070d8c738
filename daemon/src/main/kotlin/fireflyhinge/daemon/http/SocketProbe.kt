package fireflyhinge.daemon.http

import jakarta.servlet.ServletRequestWrapper
import jakarta.servlet.http.HttpServletRequest
import org.apache.catalina.connector.RequestFacade
import org.apache.coyote.ActionCode
import org.apache.coyote.Request

/**
 * Tells without blocking whether the peer has closed its connection, or its sending half, while a request whose body
 * was read is being handled. Reads through Tomcat, so that a pipelined request is kept.
 */
class SocketProbe private constructor(private val request: Request) {
    /** Whether the peer has closed. Must not run at the same time as a read of the body or the end of the request. */
    fun closed(): Boolean =
        // Tomcat reports the end of the stream as an available byte, each time it is asked. Pipelined bytes are
        // reported once, when they are read into the buffer; they do not belong to this request's body.
        available() && available()

    private fun available(): Boolean {
        request.action(ActionCode.AVAILABLE, true)
        return request.available > 0
    }

    /** Makes probes. */
    companion object {
        private val inner = RequestFacade::class.java.getDeclaredField("request").apply { isAccessible = true }

        /** Probe of the connection of [request], or null when Tomcat does not host it. */
        fun of(request: HttpServletRequest): SocketProbe? {
            var current: Any = request
            while (current is ServletRequestWrapper) current = current.request
            val catalina = (current as? RequestFacade)?.let(inner::get) as? org.apache.catalina.connector.Request
            return catalina?.let { SocketProbe(it.coyoteRequest) }
        }
    }
}
