package fireflyhinge.schedule

/**
 * Limits of a queued request's wait, in the owner's monotonic milliseconds.
 *
 * @property lateAt time from which the request can no longer meet the first-token target.
 * @property deadline time at which the request is refused.
 */
internal data class WaitLimits(val deadline: Long, val lateAt: Long = Long.MAX_VALUE)
