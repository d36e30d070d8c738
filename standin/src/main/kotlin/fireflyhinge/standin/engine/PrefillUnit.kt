package fireflyhinge.standin.engine

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.PrefillRequest
import java.util.TreeSet
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Runs prefills one at a time, interactive ones first. */
internal class PrefillUnit(private val microsPerToken: Long) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val waiting = TreeSet<PrefillJob>()
    private var running: PrefillJob? = null
    private var order = 0L

    /** Queues [request], of which [tokens] tokens must be computed. */
    fun enqueue(request: PrefillRequest, tokens: Int): PrefillJob =
        lock.withLock {
            PrefillJob(request = request, order = order++, tokens = tokens).also { waiting.add(it) }
        }

    /**
     * Waits for the turn of [job], calls [started] and takes the time of its tokens. [beat] is called many times a
     * second. Returns false if the job was cancelled.
     */
    fun run(
        job: PrefillJob,
        started: () -> Unit,
        beat: () -> Unit,
    ): Boolean {
        val stop = {
            beat()
            job.cancelled
        }
        try {
            while (!mayStart(job)) if (stop()) return false
            started()
            return Waits.sleep(nanos = TimeUnit.MICROSECONDS.toNanos(job.tokens * microsPerToken), stop = stop)
        } finally {
            finish(job)
        }
    }

    private fun mayStart(job: PrefillJob): Boolean =
        lock.withLock {
            val free = running == null && waiting.first() === job
            if (free) {
                waiting.remove(job)
                running = job
            } else {
                changed.await(SLICE_MILLIS, TimeUnit.MILLISECONDS)
            }
            free
        }

    private fun finish(job: PrefillJob) =
        lock.withLock {
            waiting.remove(job)
            if (running === job) running = null
            changed.signalAll()
        }

    /** All jobs, the running one first. */
    fun jobs(): List<PrefillJob> = lock.withLock { listOfNotNull(running) + waiting }

    /** Cancels the jobs for which [matches] holds. */
    fun cancel(matches: (EngineRequestId) -> Boolean) =
        jobs().filter { matches(it.request.id) }.forEach { it.cancelled = true }

    private companion object {
        const val SLICE_MILLIS = 20L
    }
}
