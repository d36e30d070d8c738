package fireflyhinge.gateway.forward

/** How long a replica may be silent without being at fault. */
internal object ReplicaTimeouts {
    /** Sound replicas may fall silent for a second or so (issue 17 of the users); with a margin of half of it. */
    const val HEALTHY_PAUSE_MILLIS = 1_500L
}
