package fireflyhinge.gateway.http

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** The event loop that carries all connections and coroutines of the process. VMs have one core or less. */
class Io : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("io", true))

    /** The loop itself. */
    val loop: EventLoop = group.next()

    /** Runs coroutines on the loop. */
    val dispatcher: CoroutineDispatcher = loop.asCoroutineDispatcher()

    private val failures = CoroutineExceptionHandler { _, e -> log.error("a task ended with an unexpected error", e) }

    /** Scope of all tasks; a task that fails does not end the others. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher + failures)

    override fun close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLIS = 200L
    }
}
