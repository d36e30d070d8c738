package fireflyhinge.gateway.forward

import fireflyhinge.forward.PrefilledCache
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaState

/** Has the prompt of a model request read by a prefill replica. */
internal class PrefillStep(private val pools: ReplicaPools, private val sender: ReplicaSender) {
    /**
     * The KV cache of the prompt, or null if no prefill replica gave one; a decode replica then reads the prompt by
     * itself. Reading the prompt is not a run, so it may be tried again.
     */
    suspend fun run(attempt: Attempt): PrefilledCache? {
        val avoid = HashSet<String>()
        repeat(MOST_TRIES) { number ->
            val state = pools.chooser.choose(attempt.service, ReplicaStage.PREFILL, avoid) ?: return null
            // The cache must be fetched within the region.
            val near = state.replica.failureDomain
            pools.chooser.choose(attempt.service, ReplicaStage.DECODE, near = near) ?: return null
            if (number > 0 && !pools.repeats.take(attempt.service)) return null
            avoid += state.replica.id
            send(attempt, state)?.let { return it }
        }
        return null
    }

    /** Failure domain of the replica that holds [cache], or null if it is not listed any more. */
    fun domainOf(service: String, cache: PrefilledCache): String? =
        pools.table.usable(service, ReplicaStage.PREFILL).find { it.replica.address == cache.address }
            ?.replica?.failureDomain

    private suspend fun send(attempt: Attempt, state: ReplicaState): PrefilledCache? {
        val call =
            ReplicaCall(
                replicaId = state.replica.id,
                workspace = attempt.admission.workspace?.name,
                remainingMillis = attempt.remaining,
                prefill = true,
            )
        val patience = minOf(PATIENCE_MILLIS, attempt.remaining)
        val result = sender.whole(state, attempt.request, call, patience)
        val cache = (result as? SendResult.Answered)?.takeIf { it.status == OK }
            ?.let { sender.cache(state.replica.address, it.body) }
        attempt.trail += "prefill ${state.replica.id} ${if (cache == null) describe(result) else "ok"}"
        when {
            cache != null -> state.answered(good = true)
            result is SendResult.Answered && result.facts.notRun && !result.facts.otherReplica -> state.full()
            else -> state.silent()
        }
        return cache
    }

    private fun describe(result: SendResult): String =
        when (result) {
            is SendResult.Answered -> "status ${result.status}"
            else -> result.toString()
        }

    private companion object {
        const val OK = 200
        const val MOST_TRIES = 2

        /** Reading the longest prompt takes 0.2 s; the rest is for a queue. A second try still meets the objective. */
        const val PATIENCE_MILLIS = 450L
    }
}
