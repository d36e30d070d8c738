package fireflyhinge.forward

/** Limits on request size in bytes, and on header and idle time in milliseconds. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerMillis: Long = 3_000,
    val idleMillis: Long = 15_000,
)
