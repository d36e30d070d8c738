package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.schedule.PlacementClient
import org.slf4j.LoggerFactory
import java.util.concurrent.Executor

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
        executor.execute {
            try {
                // A cancel that fails is made up by the cell owner, which cancels requests without a ticket.
                addresses.forEach { log.debug("cancel of {} at {}: {}", id, it, engines.cancel(it, id)) }
            } finally {
                placement.release(ticket)
            }
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(EngineCleanup::class.java)
    }
}
