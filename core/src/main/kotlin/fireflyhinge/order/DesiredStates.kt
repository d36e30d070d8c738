package fireflyhinge.order

import fireflyhinge.config.Upstream

/** The desired state according to the configuration. */
fun Upstream.desiredState() =
    ReplicaOrderStatus.State(role, models?.sorted(), adapters = adapters?.sorted(), modelVersion = modelVersion)
