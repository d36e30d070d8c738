package fireflyhinge.daemon.http

import io.javalin.Javalin
import org.apache.catalina.connector.Connector
import org.apache.catalina.core.StandardHost
import org.apache.catalina.startup.Tomcat
import org.apache.coyote.AbstractProtocol
import org.apache.coyote.http11.Http11NioProtocol
import java.net.InetSocketAddress
import java.time.Duration

/**
 * Hosts a Javalin app in embedded Tomcat on [address]. Port 0 selects a free port.
 *
 * Shutdown has two steps. [drain] keeps the listener open and announces the close on every answer; [close] stops
 * accepting, serves the connections that were already accepted, and then stops.
 */
class HttpHost(
    private val app: Javalin,
    private val address: InetSocketAddress,
    private val limits: HttpLimits = HttpLimits(),
) : AutoCloseable {
    private val activity = RequestActivity(limits.requests)
    private val endpoint = DrainingEndpoint()
    private val tomcat = Tomcat()

    /** Port that the listener is bound to; valid after [start]. */
    val port: Int get() = tomcat.connector.localPort

    /** Requests that are being handled. */
    val inFlight: Int get() = activity.inFlight

    /** Whether the close of this listener was announced. */
    val draining: Boolean get() = activity.draining

    /** Binds the listener; throws `LifecycleException` when the address is in use. */
    fun start(): HttpHost {
        TomcatLogs.quiet()
        tomcat.setBaseDir(System.getProperty("java.io.tmpdir"))
        tomcat.connector = connector()
        val host = tomcat.host as StandardHost
        host.errorReportValveClass = JsonErrorValve::class.java.name
        tomcat.engine.pipeline.addValve(activity)
        val context = tomcat.addContext("", System.getProperty("java.io.tmpdir"))
        Tomcat.addServlet(context, "javalin", app.javalinServlet()).isAsyncSupported = true
        context.addServletMappingDecoded("/*", "javalin")
        tomcat.start()
        return this
    }

    /** Sets `Connection: close` on every answer from now on; new connections are still accepted. */
    fun drain() = activity.drain()

    /**
     * Stops accepting and waits up to [grace] for open requests and connections. Connections that were opened before
     * are served. A connection that is opened in the instant in which the kernel closes the port is reset by it unseen,
     * so callers must have been told other addresses, by [drain] and for the life of an address, before this.
     */
    fun close(grace: Duration) {
        drain()
        val protocol = tomcat.connector.protocolHandler as AbstractProtocol<*>
        protocol.closeServerSocketGraceful()
        val deadline = System.nanoTime() + grace.toNanos()
        // Connections without a request are waited for as well: one accepted last may not have sent its request yet.
        while (System.nanoTime() < deadline && (inFlight > 0 || endpoint.openConnections() > 0)) {
            Thread.sleep(POLL_MILLIS)
        }
        tomcat.stop()
        tomcat.destroy()
    }

    /** Stops without waiting. */
    override fun close() = close(Duration.ZERO)

    private fun connector(): Connector {
        val protocol = Http11NioProtocol(endpoint)
        configure(protocol)
        val connector = Connector(protocol)
        connector.port = address.port
        connector.maxPostSize = limits.bodyBytes
        // An encoded slash or backslash is data of a service's path and is passed on as it came.
        connector.encodedSolidusHandling = "passthrough"
        return connector
    }

    private fun configure(protocol: Http11NioProtocol) {
        protocol.address = address.address
        protocol.setMaxThreads(limits.maxThreads)
        protocol.minSpareThreads = minOf(limits.maxThreads, MIN_THREADS)
        protocol.maxConnections = limits.connections
        protocol.maxHttpRequestHeaderSize = limits.headerBytes
        protocol.connectionTimeout = limits.ioMillis
        protocol.keepAliveTimeout = limits.idleMillis
        protocol.maxKeepAliveRequests = -1
        protocol.maxSwallowSize = limits.bodyBytes
        // A port that is bound at the start, not before, can be closed before the server stops.
        endpoint.bindOnInit = false
    }

    private companion object {
        const val POLL_MILLIS = 10L
        const val MIN_THREADS = 10
    }
}
