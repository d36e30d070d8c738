package fireflyhinge.quota

/**
 * A charge of [tokens] at [position] in the cumulative demand of its bucket. Times are monotonic nanoseconds.
 *
 * @property dueAt time by which the requester was last told to repeat the request.
 * @property spent whether the requester was told to use the charge, after at most a short wait, instead of repeating
 * the request.
 */
internal data class Reservation(
    val tokens: Double,
    val position: Double,
    val createdAt: Long,
    val dueAt: Long = createdAt,
    val spent: Boolean = false,
)
