package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.monotonicMillis

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
        val filter = routing.filter(context)
        repeat(MAX_ATTEMPTS) { number ->
            val state = routing.selector.select(context.service, ReplicaStage.PREFILL, avoid, near, filter)
            val listed = number > 0 || backingOff(context, near)
            state ?: return if (listed) PrefillResult.Failed else PrefillResult.NoReplica
            val again = retry || number > 0
            if (context.barred || again && !routing.retries.tryAcquire(context.service)) return PrefillResult.Failed
            avoid += state.replica.id
            val another = number + 1 < MAX_ATTEMPTS && routing.retries.isAvailable(context.service) &&
                routing.selector.select(context.service, ReplicaStage.PREFILL, avoid, near, filter) != null
            val timeout = if (another) RETRYABLE_TIMEOUT_MILLIS else LAST_TIMEOUT_MILLIS
            send(context, state, timeout)?.let { return PrefillResult.Completed(it) }
        }
        return PrefillResult.Failed
    }

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
        val result = sender.sendAndRead(state, context.request, call, timeout, tokens)
        val cache = (result as? SendResult.Responded)?.takeIf { it.status == OK }
            ?.let { sender.cache(state.replica.address, it.body) }
        val outcome = if (cache == null) describe(result) else "ok"
        context.attemptLog += "prefill ${state.replica.id} $outcome ${monotonicMillis() - began} ms"
        if (cache != null || result is SendResult.NoResponse) state.recordPrefill(tokens, monotonicMillis() - began)
        if (result is SendResult.NoResponse && result.brokenOff) {
            crashes.record(state, BrokenRun(context, settled = false))
        }
        when {
            cache != null -> state.recordResponse(success = true)
            result is SendResult.Responded && result.metadata.notRun && !result.metadata.otherReplica ->
                state.full = true
            else -> state.recordNoResponse()
        }
        return cache
    }

    private fun describe(result: SendResult): String =
        when (result) {
            is SendResult.Responded -> "status ${result.status}"
            else -> result.toString()
        }

    private companion object {
        const val OK = 200
        const val MAX_ATTEMPTS = 2

        /** The longest prompt takes 0.2 s; the rest allows for a queue, since a time-out discards the prefill. */
        const val RETRYABLE_TIMEOUT_MILLIS = 800L

        /** Time-out if no other replica can prefill instead. */
        const val LAST_TIMEOUT_MILLIS = ReplicaTimeouts.HEALTHY_PAUSE_MILLIS
    }
}
