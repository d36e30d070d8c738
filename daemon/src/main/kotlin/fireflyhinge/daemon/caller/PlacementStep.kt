package fireflyhinge.daemon.caller

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
    /** Blocks until attempt [number] is placed or refused. */
    fun place(number: Int, avoid: Set<String>, suspect: Boolean): Outcome<PlaceReply.Placed> {
        val self = ports.membership.self()
        // The first-token target runs from the request's arrival; a later attempt has a new wait.
        val elapsed = if (number == 1) ports.clock.millis() - job.arrivedMillis else 0
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
                maxWaitMillis = limits.placeWait(job.priority, elapsed),
                fingerprint = job.digest.fingerprint,
                suspect = suspect,
                avoid = avoid,
            )
        return Tracing.hop("place") { ports.placement.place(request) { pointless(ports, job, caller) } }
    }
}
