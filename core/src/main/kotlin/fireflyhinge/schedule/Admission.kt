package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest

/** Sets the limits of a request's wait, and refuses at once a request that cannot be served within them. */
internal class Admission(
    private val settings: SchedulerSettings,
    private val replicas: CellReplicas,
    private val queue: FairQueue,
    private val rates: ServiceRates,
    private val openAt: Long,
) {
    /** Times at which [request], received at [now], becomes late and is refused. */
    fun limits(request: PlaceRequest, now: Long): WaitLimits {
        val deadline = now + request.maxWaitMillis
        val firstTokenMillis = request.firstTokenMillis
        // The first-token target does not apply to a retry, whose response may already have started.
        if (firstTokenMillis == null || request.priority == Priority.BATCH || request.attempt > 1) {
            return WaitLimits(deadline)
        }
        val target = now + firstTokenMillis
        val arrived = target - settings.firstTokenMillis
        // The prefill may wait in the engine's queue for as long as the policy allows a backlog there.
        val latestStart = target - minServiceMillis(request) - settings.prefillBacklogMillis
        val lateAt = maxOf(arrived + settings.minimumWaitMillis, latestStart)
        return WaitLimits(deadline = deadline, lateAt = lateAt)
    }

    /** Reason to refuse [request] at once, or null to queue it within [limits]. */
    fun refusal(request: PlaceRequest, limits: WaitLimits, now: Long): RefusalReason? {
        if (replicas.prefill.isEmpty() || replicas.decode.isEmpty()) return RefusalReason.NO_REPLICA
        val batch = request.priority == Priority.BATCH
        val limit = if (batch) settings.batchQueueLimit else settings.interactiveQueueLimit
        val classes = if (batch) listOf(QueueClass.BATCH) else listOf(QueueClass.ON_TIME, QueueClass.LATE)
        return when {
            classes.sumOf { queue.ofClass(it).queueOf(request.workspace)?.size ?: 0 } >= limit ->
                RefusalReason.QUEUE_FULL
            batch || now < openAt -> null
            exceedsExpectedCapacity(request, limits, now) -> RefusalReason.CAPACITY
            else -> null
        }
    }

    /** Whether [request] is expected to be placed neither on time nor, in the late class, before its deadline. */
    private fun exceedsExpectedCapacity(request: PlaceRequest, limits: WaitLimits, now: Long): Boolean {
        val onTimeMillis = minOf(limits.lateAt, limits.deadline) - now
        val onTime = backlog(QueueClass.ON_TIME, request.workspace, rates.all)
        if (onTime.millis <= maxOf(0, onTimeMillis) * settings.estimateMargin) return false
        if (limits.lateAt >= limits.deadline) return true
        val late = backlog(QueueClass.LATE, request.workspace, rates.late(settings.lateClassWeight))
        // On-time requests of the workspace that are not served by then enter the late class ahead of this request.
        val becomingLate = maxOf(0.0, onTime.tokens - onTime.tokensPerMilli * maxOf(0, onTimeMillis))
        return late.copy(tokens = late.tokens + becomingLate).millis > (limits.deadline - now) * settings.estimateMargin
    }

    /** Backlog of [workspace] in class [name], served at the workspace's share of [perMilli] tokens per millisecond. */
    private fun backlog(name: QueueClass, workspace: String, perMilli: Double?): Backlog {
        val own = queue.ofClass(name).queueOf(workspace)
        return Backlog(
            tokens = own?.let { maxOf(0.0, it.tokens - it.deficit) } ?: 0.0,
            tokensPerMilli = (perMilli ?: 0.0) * queue.ofClass(name).shareOf(workspace),
        )
    }

    /** Time for prefill, KV cache transfer and first decode step on idle replicas. */
    private fun minServiceMillis(request: PlaceRequest): Long {
        val prefill =
            replicas.prefill.minOfOrNull { replica ->
                val cached = replica.prefixes.cachedTokens(request.workspace, request.prefixHashes)
                replica.millisFor(maxOf(0, request.promptTokens - cached))
            } ?: 0
        val decode = replicas.decode.firstOrNull() ?: return prefill
        val transfer =
            ReservingPolicy.transferMillis(request.promptTokens, decode.upstream.linkMegabytesPerSecond, settings)
        return prefill + transfer + decode.stepMillis.value.toLong()
    }
}
