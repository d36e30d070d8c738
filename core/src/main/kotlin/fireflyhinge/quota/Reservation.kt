package fireflyhinge.quota

/**
 * A charge of [tokens] at [place] in its bucket's demand, made at [madeAt].
 *
 * @property dueAt time by which the asker was last told to ask again.
 * @property spent whether the asker was told to use it, after a short wait at most, rather than to ask again.
 */
internal data class Reservation(
    val tokens: Double,
    val place: Double,
    val madeAt: Long,
    val dueAt: Long = madeAt,
    val spent: Boolean = false,
)
