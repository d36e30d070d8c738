package fireflyhinge.quota

/** A charge of [tokens] at [place] in its bucket's demand, made at [madeAt]. */
internal data class Reservation(val tokens: Double, val place: Double, val madeAt: Long)
