package fireflyhinge.gateway.http

import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * The event loop that runs all connections and coroutines of the process. It has one thread, since VMs have one core or
 * less.
 */
class IoLoop : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)
    private val group = NioEventLoopGroup(1, DefaultThreadFactory("io", true))

    /** The Netty event loop. */
    val loop: EventLoop = group.next()

    /** Runs coroutines on the loop. */
    val dispatcher: CoroutineDispatcher = loop.asCoroutineDispatcher()

    private val exceptionHandler =
        CoroutineExceptionHandler { _, e -> log.error("coroutine failed with an unexpected exception", e) }

    /** Scope of all coroutines; one that fails does not cancel the others. */
    val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLIS = 200L
    }
}
