package fireflyhinge.forward

/** What is known of all requests and crashes, beside the evidence on one trait. */
internal interface CrashContext {
    /** Number of different requests that are known not to have begun to respond at [crash]. */
    fun requestsAt(crash: String): Int

    /** Number of sound responses in [scope] that are known to have begun after [time], in monotonic milliseconds. */
    fun soundAfter(scope: String, time: Long): Int
}
