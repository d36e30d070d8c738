package fireflyhinge.daemon.http

import jakarta.servlet.ServletRequestWrapper
import jakarta.servlet.http.HttpServletRequest
import org.apache.catalina.connector.RequestFacade
import org.apache.coyote.AbstractProcessor
import org.apache.tomcat.util.net.SocketWrapperBase
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Tells without blocking whether the peer has closed its connection, or its sending half, while a request whose body
 * was read is being handled. Bytes of a pipelined request are put back. Tomcat's own test for available input is not
 * used, because it overwrites pipelined bytes that came together with the body.
 */
class SocketProbe private constructor(private val socket: SocketWrapperBase<*>) {
    private val buffer = ByteBuffer.allocate(1)

    /** Whether the peer has closed. Must not run at the same time as a read of the body or the end of the request. */
    fun closed(): Boolean =
        try {
            buffer.clear()
            val n = socket.read(false, buffer)
            if (n > 0) socket.unRead(buffer.flip())
            n < 0
        } catch (_: IOException) {
            true
        }

    /** Makes probes. The socket is found through fields of Tomcat that have no public accessor. */
    companion object {
        private val inner = RequestFacade::class.java.getDeclaredField("request").apply { isAccessible = true }
        private val hook =
            org.apache.coyote.Request::class.java
                .getDeclaredField("hook")
                .apply { isAccessible = true }
        private val wrapper =
            AbstractProcessor::class.java.getDeclaredMethod("getSocketWrapper").apply { isAccessible = true }

        /** Probe of the connection of [request], or null when Tomcat does not host it. */
        fun of(request: HttpServletRequest): SocketProbe? {
            var current: Any = request
            while (current is ServletRequestWrapper) current = current.request
            val catalina = (current as? RequestFacade)?.let(inner::get) as? org.apache.catalina.connector.Request
            val processor = catalina?.let { hook.get(it.coyoteRequest) } as? AbstractProcessor
            return (processor?.let(wrapper::invoke) as? SocketWrapperBase<*>)?.let(::SocketProbe)
        }
    }
}
