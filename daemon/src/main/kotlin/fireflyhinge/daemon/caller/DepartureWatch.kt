package fireflyhinge.daemon.caller

import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.daemon.http.SocketProbe
import jakarta.servlet.http.HttpServletRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Probes the connections of waiting callers every [periodMillis]. */
class DepartureWatch(private val periodMillis: Long = 100) : AutoCloseable {
    private val watched = ConcurrentHashMap.newKeySet<WatchedCaller>()
    private val timer =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "departure-watch").apply { isDaemon = true } }

    init {
        val task = LoopTask("departure watch", ::probeAll)
        timer.scheduleWithFixedDelay(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    /** Runs [block] while the caller of [request] is watched. The body of [request] must have been read. */
    fun <T> watching(request: HttpServletRequest, block: (CallerLink) -> T): T {
        val probe = SocketProbe.of(request)
        val caller = WatchedCaller { probe?.closed() ?: false }
        watched.add(caller)
        return try {
            block(caller)
        } finally {
            watched.remove(caller)
            caller.end()
        }
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun probeAll() = watched.forEach { LoopTask("departure probe", it::probe).run() }
}
