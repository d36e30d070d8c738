package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.nowMillis

/** Has the prompt of a model request read by a prefill replica. */
internal class PrefillDispatcher(private val routing: ReplicaRouting, private val sender: ReplicaSender) {
    /**
     * Has the prompt read. That is not a run, so it may be tried again. The cache is to be fetched from [near], so it
     * must be in the same region. [repeated] says that the prompt was read before.
     */
    suspend fun run(context: RequestContext, near: String, repeated: Boolean): PrefillResult {
        val avoid = HashSet<String>()
        repeat(MOST_TRIES) { number ->
            val state = routing.selector.select(context.service, ReplicaStage.PREFILL, avoid, near)
            state ?: return if (number == 0) PrefillResult.NoReplica else PrefillResult.Failed
            if ((repeated || number > 0) && !routing.retries.tryAcquire(context.service)) return PrefillResult.Failed
            avoid += state.replica.id
            val another = number + 1 < MOST_TRIES && routing.retries.isAvailable(context.service) &&
                routing.selector.select(context.service, ReplicaStage.PREFILL, avoid, near) != null
            val patience = if (another) PATIENCE_MILLIS else LAST_PATIENCE_MILLIS
            send(context, state, patience)?.let { return PrefillResult.Completed(it) }
        }
        return PrefillResult.Failed
    }

    private suspend fun send(context: RequestContext, state: ReplicaState, patienceMillis: Long): KvCacheLocation? {
        val call =
            ReplicaRequestOptions(
                replicaId = state.replica.id,
                workspace = context.admission.workspace?.name,
                remainingMillis = context.remaining,
                prefill = true,
            )
        val patience = minOf(patienceMillis, context.remaining)
        val tokens = context.metadata.promptTokens ?: 0
        val began = nowMillis()
        val result = sender.whole(state, context.request, call, patience, tokens)
        val cache = (result as? SendResult.Responded)?.takeIf { it.status == OK }
            ?.let { sender.cache(state.replica.address, it.body) }
        val outcome = if (cache == null) describe(result) else "ok"
        context.attemptLog += "prefill ${state.replica.id} $outcome ${nowMillis() - began} ms"
        if (cache != null || result is SendResult.NoResponse) state.recordPrefill(tokens, nowMillis() - began)
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
        const val MOST_TRIES = 2

        /** Reading the longest prompt takes 0.2 s; the rest is for a queue, since what a replica has read is lost. */
        const val PATIENCE_MILLIS = 800L

        /** Where no other replica can read the prompt instead. */
        const val LAST_PATIENCE_MILLIS = ReplicaTimeouts.HEALTHY_PAUSE_MILLIS
    }
}
