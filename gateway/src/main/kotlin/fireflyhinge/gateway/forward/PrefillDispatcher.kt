package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.PrefillTimeout
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.monotonicMillis
import java.util.Locale

/** Sends model requests to prefill replicas. */
internal class PrefillDispatcher(
    private val routing: ReplicaRouting,
    private val sender: ReplicaSender,
    private val crashes: CrashDetector,
) {
    /**
     * Prefills the prompt. This does not count as a run of the request, so it may be retried. The decode replica in
     * failure domain [near] fetches the KV cache, so the prefill replica must be in the same region. [retry] is true if
     * the prompt was sent to a prefill replica before.
     */
    suspend fun run(context: RequestContext, near: String, retry: Boolean): PrefillResult {
        val avoid = HashSet<String>()
        repeat(MAX_ATTEMPTS) { number ->
            val state = next(context, avoid, near)
            val listed = number > 0 || backingOff(context, near) || state == null && coldBlocks(context, avoid, near)
            state ?: return if (listed) PrefillResult.Failed else PrefillResult.NoReplica
            val again = retry || number > 0
            if (context.barred || again && !routing.retries.tryAcquire(context.service)) return PrefillResult.Failed
            avoid += state.replica.id
            val timeout = timeoutMillis(context, number, avoid, near)
            send(context, state, timeout)?.let { return PrefillResult.Completed(it) }
        }
        return PrefillResult.Failed
    }

    /** Time for the attempt with [number], before the prompt is sent to a replica that is not in [avoid]. */
    private fun timeoutMillis(context: RequestContext, number: Int, avoid: Set<String>, near: String): Long {
        val another = number + 1 < MAX_ATTEMPTS && routing.retries.isAvailable(context.service) &&
            select(context, avoid, near) != null
        if (!another) return PrefillTimeout.LAST_MILLIS
        val elapsed = monotonicMillis() - context.request.arrivedMillis
        return routing.prefillRetryMillis(context.admission.route.objectiveMillis - elapsed)
    }

    /** Selects a prefill replica near [near]; waits for the budget of cold ones if there are no others. */
    private suspend fun next(context: RequestContext, avoid: Set<String>, near: String): ReplicaState? {
        while (true) {
            val state = select(context, avoid, near)
            val reachable = { one: ReplicaState -> isReachable(context, one, near) }
            val waited = state == null && routing.cold.await(context, ReplicaStage.PREFILL, avoid, reachable)
            if (!waited) return state
        }
    }

    private fun coldBlocks(context: RequestContext, avoid: Set<String>, near: String): Boolean =
        routing.cold.blocks(context, ReplicaStage.PREFILL, avoid) { isReachable(context, it, near) }

    private fun isReachable(context: RequestContext, state: ReplicaState, near: String): Boolean =
        routing.selector.inRegion(state, near) && routing.filter(context).allows(state)

    private fun select(context: RequestContext, avoid: Set<String>, near: String): ReplicaState? =
        routing.selector.select(context.service, ReplicaStage.PREFILL, avoid, near, routing.filter(context))

    /** Whether there are prefill replicas in the region of [near] that want no requests for a while. */
    private fun backingOff(context: RequestContext, near: String): Boolean =
        routing.table.backingOff(context.service, ReplicaStage.PREFILL, routing.filter(context))
            .any { routing.selector.inRegion(it, near) }

    private suspend fun send(context: RequestContext, state: ReplicaState, timeoutMillis: Long): KvCacheLocation? {
        val call =
            ReplicaRequestOptions(
                replicaId = state.replica.id,
                workspace = context.admission.workspace?.name,
                remainingMillis = context.remainingMillis,
                prefill = true,
            )
        val timeout = minOf(timeoutMillis, context.remainingMillis)
        val tokens = context.metadata.promptTokens ?: 0
        val began = monotonicMillis()
        val load = "%.2f".format(Locale.ROOT, routing.selector.load(context.service, state))
        val result = sender.sendAndRead(state, context.request, call, timeout, tokens)
        val cache = (result as? SendResult.Responded)?.takeIf { it.status == OK }
            ?.let { sender.cache(state.replica.address, it.body) }
        val outcome = if (cache == null) describe(result) else "ok"
        context.attemptLog += "prefill ${state.replica.id} $outcome ${monotonicMillis() - began} ms, load $load"
        val elapsed = monotonicMillis() - began
        if (cache != null || result is SendResult.NoResponse) state.recordPrefill(tokens, elapsed, cache != null)
        if (result is SendResult.NoResponse && result.brokenOff) {
            crashes.record(state, BrokenRun(context, settled = false))
        }
        if (cache != null) state.recordResponse(success = true) else recordFailure(state, result)
        return cache
    }

    private fun recordFailure(state: ReplicaState, result: SendResult) {
        when {
            result is SendResult.Responded && result.metadata.notRun && !result.metadata.otherReplica ->
                state.full = true
            result is SendResult.NotSent && result.noBudget -> Unit
            else -> state.recordNoResponse()
        }
    }

    private fun describe(result: SendResult): String =
        when (result) {
            is SendResult.Responded -> "status ${result.status}"
            else -> result.toString()
        }

    private companion object {
        const val OK = 200
        const val MAX_ATTEMPTS = 2
    }
}
