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
    /** Blocks until attempt [number] is placed or refused. */
    fun place(number: Int, avoid: Set<String>, suspect: Boolean): Outcome<PlaceReply.Placed> {
        val self = ports.membership.self()
        // The first-token target runs from the request's arrival. A later attempt continues an answer that may have
        // begun, and the suspects of a crash are placed one after another, so it may wait longer.
        val elapsed = ports.clock.millis() - job.arrivedMillis
        val wait = if (number == 1) limits.placeWait(job.priority, elapsed) else limits.retryWait(job.priority)
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
                suspect = suspect,
                avoid = avoid,
            )
        return Tracing.hop("place") { ports.placement.place(request) { pointless(ports, job, caller) } }
    }
}
