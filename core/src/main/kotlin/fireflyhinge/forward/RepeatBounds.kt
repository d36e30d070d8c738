package fireflyhinge.forward

/**
 * How many sends beyond the first of each request the platform tolerates at a service, summed over all VMs, in any
 * [windowMillis]: [ratio] of the requests and [slack] more.
 */
data class RepeatBounds(val ratio: Double = 0.2, val slack: Double = 56.0, val windowMillis: Long = 10_000)
