package fireflyhinge.gateway.forward

/** Limits after which a replica counts as unresponsive. */
internal object ReplicaTimeouts {
    /** Healthy replicas may pause for about 1 s (issue 17 of the users); includes a margin of 50 %. */
    const val HEALTHY_PAUSE_MILLIS = 1_500L
}
