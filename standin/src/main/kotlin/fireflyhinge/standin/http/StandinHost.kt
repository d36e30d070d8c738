package fireflyhinge.standin.http

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.CallId
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import org.apache.catalina.core.StandardContext
import org.apache.catalina.startup.Tomcat
import java.util.concurrent.atomic.AtomicBoolean
import java.util.logging.Level
import java.util.logging.Logger

/** Hosts a Javalin servlet in embedded Tomcat on [listen] (`host:port`, port 0 selects a free one). */
internal class StandinHost(
    listen: String,
    maxThreads: Int = 600,
    configure: (JavalinConfig) -> Unit,
) : AutoCloseable {
    private val tomcat = Tomcat()
    private val open = AtomicBoolean(true)

    /** `host:port` as bound. */
    val address: String

    init {
        quiet.level = Level.SEVERE
        val host = listen.substringBeforeLast(':')
        val directory = System.getProperty("java.io.tmpdir")
        tomcat.setBaseDir(directory)
        tomcat.setPort(listen.substringAfterLast(':').toInt())
        val limits = mapOf("maxThreads" to "$maxThreads", "maxKeepAliveRequests" to "-1", "keepAliveTimeout" to "60000")
        (limits + ("address" to host)).forEach { (name, value) -> tomcat.connector.setProperty(name, value) }
        val context = tomcat.addContext("", directory) as StandardContext
        // Leak checks are for redeployment and only log warnings here.
        context.clearReferencesObjectStreamClassCaches = false
        context.clearReferencesRmiTargets = false
        context.clearReferencesThreadLocals = false
        Tomcat.addServlet(context, "standin", servletOf(configure)).isAsyncSupported = true
        context.addServletMappingDecoded("/*", "standin")
        context.pipeline.addValve(ConnectionValve())
        tomcat.connector.throwOnFailure = true
        tomcat.start()
        address = "$host:${tomcat.connector.localPort}"
    }

    private fun servletOf(configure: (JavalinConfig) -> Unit) =
        Javalin
            .create { config ->
                config.http.maxRequestSize = MAX_REQUEST_BYTES
                config.startup.showJavalinBanner = false
                config.startup.startupWatcherEnabled = false
                config.routes.exception(JsonProcessingException::class.java) { e, ctx ->
                    ctx.refuse(status = 400, reason = "malformed JSON: ${e.originalMessage}")
                }
                config.routes.before { ctx -> ctx.header(CallId.HEADER)?.let { ctx.header(CallId.HEADER, it) } }
                configure(config)
            }.javalinServlet()

    override fun close() {
        if (!open.getAndSet(false)) return
        tomcat.stop()
        tomcat.destroy()
    }

    private companion object {
        const val MAX_REQUEST_BYTES = 8_000_000L

        // A field, because the log manager holds loggers weakly and would forget the level.
        val quiet: Logger = Logger.getLogger("org.apache")
    }
}
