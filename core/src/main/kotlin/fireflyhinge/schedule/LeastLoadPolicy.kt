package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Baseline that places each request at once on the replicas with the least reported load, without reservations. */
internal class LeastLoadPolicy : PlacementPolicy {
    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val prefill = replicas.prefillFor(request).minByOrNull { it.load?.queuedPrefillTokens ?: 0 }
        val decode = replicas.decodeFor(request).minByOrNull { it.reportedRunning.toDouble() / maxOf(1, it.slots) }
        if (prefill == null || decode == null) return PlacementChoice.DeferRequest
        return unreservedPlacement(prefill, decode, request, now)
    }
}
