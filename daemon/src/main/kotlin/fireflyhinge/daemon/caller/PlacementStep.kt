package fireflyhinge.daemon.caller

import fireflyhinge.config.Priority
import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome
import fireflyhinge.time.millis

/** Asks for the placements of one request. */
internal class PlacementStep(
    private val ports: CallerPorts,
    private val limits: PipelineLimits,
    val job: ModelJob,
    val caller: CallerLink,
) {
    /** Blocks until attempt [number] of a request that took part in [crashes] is placed or refused. */
    fun place(number: Int, avoid: Set<String>, crashes: Int): Outcome<PlaceReply.Placed> {
        val self = ports.membership.self()
        // The first-token target runs from the request's arrival. A later attempt continues an answer that may have
        // begun, and the suspects of a crash may have to wait for one another, so it may wait longer.
        val elapsed = ports.clock.millis() - job.arrivedMillis
        val later = limits.newPlaceWait(job.priority, crashes)
        val wait = if (number == 1) limits.placeWait(job.priority, elapsed) else later
        val targeted = number == 1 && job.priority == Priority.INTERACTIVE
        val request =
            PlaceRequest(
                requestId = job.requestId,
                attempt = number,
                holder = Holder(self.id, self.incarnation),
                service = job.route.service,
                workspace = job.access.scope,
                failureDomain = self.failureDomain,
                priority = job.priority,
                promptTokens = job.digest.tokens,
                maxOutputTokens = job.chat.maxTokens,
                prefixHashes = job.digest.prefixHashes,
                maxWaitMillis = wait,
                fingerprint = job.digest.fingerprint,
                firstTokenMillis = if (targeted) limits.firstTokenMillis - elapsed else null,
                crashes = crashes,
                avoid = avoid,
            )
        return Tracing.hop("place") { ports.placement.place(request) { pointless(ports, job, caller) } }
    }
}
