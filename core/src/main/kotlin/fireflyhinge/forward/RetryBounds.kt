package fireflyhinge.forward

/**
 * How many sends beyond the first of each request the platform tolerates at a service, summed over all VMs, in any
 * window of some seconds: [ratio] of the requests and [slack] more. A share that is earned with requests and holds at
 * most the slack keeps this for windows of every length.
 */
data class RetryBounds(val ratio: Double = 0.2, val slack: Double = 56.0)
