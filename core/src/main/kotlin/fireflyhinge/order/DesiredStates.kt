package fireflyhinge.order

import fireflyhinge.config.Upstream

/** The desired state that the configuration names. */
fun Upstream.desiredState() =
    ReplicaOrderStatus.State(role, models?.sorted(), adapters = adapters?.sorted(), modelVersion = modelVersion)
