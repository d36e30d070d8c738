package fireflyhinge.daemon.cell

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineClient
import fireflyhinge.time.MonotonicClock
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Loops of the owner, which make the placement decisions and poll the engines. */
internal class CellLoops(
    private val cells: ActingCells,
    private val engines: EngineClient,
    private val clock: MonotonicClock,
) : AutoCloseable {
    private val timer = Executors.newScheduledThreadPool(TIMER_THREADS, DaemonThreadFactory("cell-timer"))
    private val workers = Executors.newCachedThreadPool(DaemonThreadFactory("cell-poll"))
    private var pollers: Map<CellRuntime, Pair<CellConfiguration, Map<Upstream, ReplicaPoller>>> = emptyMap()

    /** Starts the loops. */
    fun start() {
        schedule(DECISION_INTERVAL_MILLIS) {
            cells.all.forEach { LoopTask("decisions of cell ${it.key}", it::processDue).run() }
        }
        schedule(POLL_INTERVAL_MILLIS) { poll() }
    }

    override fun close() {
        timer.shutdownNow()
        workers.shutdownNow()
    }

    private fun poll() {
        cells.reconcile()
        val next = HashMap(pollers.filterKeys { it in cells.all })
        cells.all.forEach { cell -> LoopTask("poll of cell ${cell.key}") { next[cell] = pollersOf(cell) }.run() }
        pollers = next
        pollers.values.flatMap { it.second.values }.forEach { poller ->
            workers.execute(
                LoopTask("engine poll", poller::poll)
            )
        }
    }

    /** Pollers of a cell. A new configuration keeps the pollers of unchanged upstreams. */
    private fun pollersOf(runtime: CellRuntime): Pair<CellConfiguration, Map<Upstream, ReplicaPoller>> {
        val configuration = cells.configuration(runtime.key)
        val known = pollers[runtime]
        if (known?.first == configuration) return known
        runtime.configure(configuration)
        return configuration to
            configuration.upstreams.associateWith { upstream ->
                known?.second?.get(upstream) ?: ReplicaPoller(upstream, runtime, engines, clock)
            }
    }

    private fun schedule(millis: Long, task: () -> Unit) {
        timer.scheduleWithFixedDelay(LoopTask("cell loop", task), 0, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val TIMER_THREADS = 2
        const val DECISION_INTERVAL_MILLIS = 20L
        const val POLL_INTERVAL_MILLIS = 500L
    }
}
