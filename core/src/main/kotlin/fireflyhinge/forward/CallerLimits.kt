package fireflyhinge.forward

/** What a caller may send, in bytes, and how long it may take or stay idle, in milliseconds. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerMillis: Long = 3_000,
    val idleMillis: Long = 15_000,
)
