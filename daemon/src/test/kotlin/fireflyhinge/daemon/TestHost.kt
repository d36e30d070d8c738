package fireflyhinge.daemon

import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import org.apache.catalina.startup.Tomcat

/** Serves Javalin routes on a free port of the loopback interface. */
class TestHost(register: (RoutesConfig) -> Unit) : AutoCloseable {
    private val tomcat = Tomcat()

    /** `http://host:port` as bound. */
    val url: String

    init {
        val directory = System.getProperty("java.io.tmpdir")
        tomcat.setBaseDir(directory)
        tomcat.setPort(0)
        tomcat.connector.setProperty("address", "127.0.0.1")
        val context = tomcat.addContext("", directory)
        val servlet =
            Javalin.create {
                it.startup.showJavalinBanner = false
                it.startup.startupWatcherEnabled = false
                register(it.routes)
            }.javalinServlet()
        Tomcat.addServlet(context, "test", servlet).isAsyncSupported = true
        context.addServletMappingDecoded("/*", "test")
        tomcat.start()
        url = "http://127.0.0.1:${tomcat.connector.localPort}"
    }

    override fun close() {
        tomcat.stop()
        tomcat.destroy()
    }
}
