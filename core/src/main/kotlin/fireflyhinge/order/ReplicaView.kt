package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/**
 * The state of a replica as the owner of its cell knows it.
 *
 * @property upstream configuration of the replica, with the desired state.
 * @property load the last report of its engine, or null before the first one.
 * @property reachable whether the replica answered the last request for its load.
 * @property drained whether the replica is excluded from placements and no ticket needs it any more.
 */
data class ReplicaView(val upstream: Upstream, val load: EngineLoad?, val reachable: Boolean, val drained: Boolean)
