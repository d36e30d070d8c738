package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest

/** Decides how long a request may wait, and refuses at once what cannot be served in that time. */
internal class Admission(
    private val settings: SchedulerSettings,
    private val replicas: CellReplicas,
    private val queue: FairQueue,
    private val rate: ServiceRate,
    private val openAt: Long,
) {
    /** Time after which [request], which arrived at [now], is refused. */
    fun deadline(request: PlaceRequest, now: Long): Long {
        val latest = now + request.maxWaitMillis
        // A retry has no first-token target any more: its answer may have begun.
        if (request.priority == Priority.BATCH || request.attempt > 1) return latest
        val wait = maxOf(settings.minimumWaitMillis, settings.firstTokenMillis - ownMillis(request))
        // During a takeover a late answer is better than a refusal of everything.
        val afterGrace = if (now < openAt) openAt + settings.firstTokenMillis else Long.MIN_VALUE
        return minOf(latest, maxOf(now + wait, afterGrace))
    }

    /** Reason to refuse [request] at once, or null to queue it until [deadline]. */
    fun refusal(request: PlaceRequest, deadline: Long, now: Long): RefusalReason? {
        if (replicas.prefill.isEmpty() || replicas.decode.isEmpty()) return RefusalReason.NO_REPLICA
        val limit =
            if (request.priority == Priority.BATCH) settings.batchQueueLimit else settings.interactiveQueueLimit
        val own = queue.ofClass(request.priority).queueOf(request.workspace)
        return when {
            (own?.size ?: 0) >= limit -> RefusalReason.QUEUE_FULL
            request.priority == Priority.BATCH || own == null || now < openAt -> null
            estimatedWait(request, own) > (deadline - now) * settings.estimateMargin -> RefusalReason.CAPACITY
            else -> null
        }
    }

    /** Wait behind the workspace's own requests, served at its share of the observed rate; 0 while that is unknown. */
    private fun estimatedWait(request: PlaceRequest, own: WorkspaceQueue): Double {
        val perMilli = rate.tokensPerMilli?.takeIf { it > 0 } ?: return 0.0
        val share = queue.ofClass(request.priority).shareOf(request.workspace)
        return maxOf(0.0, own.tokens - own.deficit) / (perMilli * share)
    }

    /** Prefill, transfer and first step on idle replicas. */
    private fun ownMillis(request: PlaceRequest): Long {
        val prefill =
            replicas.prefill.minOfOrNull { replica ->
                val cached = replica.prefixes.cachedTokens(request.workspace, request.prefixHashes)
                replica.millisFor(maxOf(0, request.promptTokens - cached))
            } ?: 0
        val decode = replicas.decode.firstOrNull() ?: return prefill
        val transfer =
            ReservingPolicy.transferMillis(request.promptTokens, decode.upstream.linkMegabytesPerSecond, settings)
        return prefill + transfer + decode.step.value.toLong()
    }
}
