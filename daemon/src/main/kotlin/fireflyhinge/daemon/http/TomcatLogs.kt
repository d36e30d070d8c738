package fireflyhinge.daemon.http

import java.util.logging.Level
import java.util.logging.Logger

/** Limits Tomcat's own log, which goes to standard error as text, to what an operator must see. */
internal object TomcatLogs {
    // The logging framework holds loggers weakly; a collected logger would lose its level.
    private val tomcat = Logger.getLogger("org.apache")

    // Reports the threads of this process as leaks of the one web application when the listener stops.
    private val leaks = Logger.getLogger("org.apache.catalina.loader.WebappClassLoaderBase")

    /** Applies the levels. */
    fun quiet() {
        tomcat.level = Level.WARNING
        leaks.level = Level.OFF
    }
}
