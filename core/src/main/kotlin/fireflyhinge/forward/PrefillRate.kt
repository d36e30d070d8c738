package fireflyhinge.forward

/**
 * Rate at which a replica prefilled a prompt.
 *
 * @property tokensPerMilli tokens per millisecond, including the time in the replica's queue.
 * @property ageMillis time since the measurement.
 */
data class PrefillRate(val tokensPerMilli: Double, val ageMillis: Long)
