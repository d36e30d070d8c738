package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.schedule.PlacementClient
import org.slf4j.LoggerFactory
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/**
 * Ends attempts: cancels at the engines, then releases the ticket, because a slot may be given to another request only
 * when the engine has freed it. Runs on [executor], so that a slow engine delays neither a retry nor the caller.
 */
internal class EngineCleanup(
    private val engines: EngineClient,
    private val placement: PlacementClient,
    private val executor: Executor,
) {
    /** Cancels [id] at each of [addresses] and releases [ticket]; called once for each attempt. */
    fun end(id: EngineRequestId, ticket: String, addresses: Collection<String>) {
        if (addresses.isEmpty()) return placement.release(ticket)
        val work = Runnable { cancelAndRelease(id, ticket, addresses) }
        try {
            executor.execute(work)
        } catch (_: RejectedExecutionException) {
            work.run()
        }
    }

    private fun cancelAndRelease(id: EngineRequestId, ticket: String, addresses: Collection<String>) {
        try {
            addresses.forEach { cancel(it, id) }
        } finally {
            placement.release(ticket)
        }
    }

    private fun cancel(address: String, id: EngineRequestId) {
        val result = engines.cancel(address, id)
        // The cell owner cancels requests without a ticket, so a failed cancel is not repeated here.
        if (result is EngineResult.Failed) log.info("cancel of {} at {} failed: {}", id, address, result.failure)
    }

    private companion object {
        val log = LoggerFactory.getLogger(EngineCleanup::class.java)
    }
}
