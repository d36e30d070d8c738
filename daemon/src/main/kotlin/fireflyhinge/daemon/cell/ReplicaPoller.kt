package fireflyhinge.daemon.cell

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineResult
import fireflyhinge.schedule.Cancellation
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean

/** Polls the load and the held requests of one replica for its cell, and cancels orphans. */
internal class ReplicaPoller(
    private val upstream: Upstream,
    private val runtime: CellRuntime,
    private val engines: EngineClient,
    private val clock: MonotonicClock,
) {
    private val running = AtomicBoolean()
    private var listedAt: Long? = null

    /** Runs one poll, unless the previous one still waits for the engine. */
    fun poll() {
        if (!running.compareAndSet(false, true)) return
        try {
            readLoad()
            val due = listedAt?.let { clock.millis() - it >= LIST_INTERVAL_MILLIS } != false
            if (due || upstream.name in runtime.replicasToList) list()
        } finally {
            running.set(false)
        }
    }

    private fun readLoad() {
        val result = engines.readLoad(upstream.address)
        runtime.recordLoad(upstream.name, (result as? EngineResult.Ok)?.value)
    }

    private fun list() {
        val started = clock.millis()
        val result = engines.listHeldRequests(upstream.address)
        if (result !is EngineResult.Ok) return
        listedAt = started
        runtime.reconcile(upstream.name, result.value).forEach(::cancel)
    }

    private fun cancel(orphan: Cancellation) {
        val result = engines.cancel(orphan.address, orphan.id)
        log.info("cancelling orphan {} at replica {} returned {}", orphan.id, orphan.replica, result)
        if (result is EngineResult.Ok) runtime.recordCancelled(orphan.replica, orphan.id)
    }

    private companion object {
        const val LIST_INTERVAL_MILLIS = 5_000
        val log = LoggerFactory.getLogger(ReplicaPoller::class.java)!!
    }
}
