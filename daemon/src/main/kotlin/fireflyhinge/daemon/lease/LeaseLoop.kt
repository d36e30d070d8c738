package fireflyhinge.daemon.lease

import fireflyhinge.daemon.cell.LoopTask
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Thread that runs [pass] ten times a second; every tenth pass is due for renewals. */
internal class LeaseLoop(private val pass: () -> Unit) : AutoCloseable {
    private val thread =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "lease-loop").apply { isDaemon = true } }
    private var passes = 0L

    /** Whether this pass sends renewals. */
    fun renewalDue(): Boolean = passes % PASSES_PER_RENEWAL == 0L

    /** Starts the thread. */
    fun start() {
        thread.scheduleWithFixedDelay(::run, 0, PASS_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        LoopTask("lease loop", pass).run()
        passes++
    }

    override fun close() = thread.shutdown()

    private companion object {
        const val PASS_MILLIS = 100L
        const val PASSES_PER_RENEWAL = 10L
    }
}
