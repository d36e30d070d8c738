package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Baseline: places at once on the replicas whose last report shows the least load, without reservations. */
internal class LeastLoadPolicy : PlacementPolicy {
    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val prefill = replicas.prefillFor(request).minByOrNull { it.load?.queuedPrefillTokens ?: 0 }
        val decode = replicas.decodeFor(request).minByOrNull { it.reportedRunning.toDouble() / maxOf(1, it.slots) }
        if (prefill == null || decode == null) return PlacementChoice.WaitThis
        return unreserved(prefill, decode, request, now)
    }
}
