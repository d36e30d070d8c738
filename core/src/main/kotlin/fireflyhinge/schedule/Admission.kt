package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceRequest

/** Decides how long a request may wait, and refuses at once what cannot be served in that time. */
internal class Admission(
    private val settings: SchedulerSettings,
    private val replicas: CellReplicas,
    private val queue: FairQueue,
    private val rates: ServiceRates,
    private val openAt: Long,
) {
    /** Times at which [request], which was asked at [now], becomes late and is refused. */
    fun limits(request: PlaceRequest, now: Long): WaitLimits {
        val deadline = now + request.maxWaitMillis
        val left = request.firstTokenMillis
        // A retry has no first-token target any more: its answer may have begun.
        if (left == null || request.priority == Priority.BATCH || request.attempt > 1) return WaitLimits(deadline)
        val target = now + left
        val arrived = target - settings.firstTokenMillis
        // Its prefill may wait in the engine for as long as the policy lets work pile up there.
        val lateAt =
            maxOf(arrived + settings.minimumWaitMillis, target - ownMillis(request) - settings.prefillBacklogMillis)
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
            isHopeless(request, limits, now) -> RefusalReason.CAPACITY
            else -> null
        }
    }

    /** Whether [request] is expected to be placed neither on time nor, as a late request, before it is refused. */
    private fun isHopeless(request: PlaceRequest, limits: WaitLimits, now: Long): Boolean {
        val onTimeMillis = minOf(limits.lateAt, limits.deadline) - now
        val onTime = backlog(QueueClass.ON_TIME, request.workspace, rates.all)
        if (onTime.millis <= maxOf(0, onTimeMillis) * settings.estimateMargin) return false
        if (limits.lateAt >= limits.deadline) return true
        val late = backlog(QueueClass.LATE, request.workspace, rates.late(settings.lateClassWeight))
        // What the workspace's on-time share does not serve until then becomes late before this request.
        val moving = maxOf(0.0, onTime.tokens - onTime.tokensPerMilli * maxOf(0, onTimeMillis))
        return late.copy(tokens = late.tokens + moving).millis > (limits.deadline - now) * settings.estimateMargin
    }

    /** The requests of [workspace] in the class, served at the workspace's share of [perMilli]. */
    private fun backlog(name: QueueClass, workspace: String, perMilli: Double?): Backlog {
        val own = queue.ofClass(name).queueOf(workspace)
        return Backlog(
            tokens = own?.let { maxOf(0.0, it.tokens - it.deficit) } ?: 0.0,
            tokensPerMilli = (perMilli ?: 0.0) * queue.ofClass(name).shareOf(workspace),
        )
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
