package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Selects the replicas of a request. Called under the cell's lock; does not modify the replicas. */
internal fun interface PlacementPolicy {
    /** Decides on [request], the next one in fair order, at [now]. */
    fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice
}
