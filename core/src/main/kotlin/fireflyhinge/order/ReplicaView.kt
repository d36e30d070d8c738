package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/**
 * What the cell's owner knows about a replica.
 *
 * @property upstream its configuration, with the desired state.
 * @property load the last report, or null before the first one.
 * @property answers whether the replica answered when it was last asked.
 * @property quiet whether it is withheld from placements and no ticket needs it any more.
 */
data class ReplicaView(val upstream: Upstream, val load: EngineLoad?, val reachable: Boolean, val drained: Boolean)
