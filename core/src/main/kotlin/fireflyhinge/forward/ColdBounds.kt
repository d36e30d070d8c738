package fireflyhinge.forward

/**
 * Requests that a cold replica tolerates in any one second, summed over all VMs: the service's
 * [ForwardService.coldPerSecond] times [overage], plus [slack].
 */
data class ColdBounds(val overage: Double = 1.0, val slack: Double = 0.0) {
    /** Requests per second that a replica of a service with [perSecond] tolerates while it is cold. */
    fun limit(perSecond: Double): Double = perSecond * overage + slack
}
