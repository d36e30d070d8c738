package fireflyhinge.schedule

/** Exponential moving average of samples, clamped to a factor of 8 around the [initial] value against outliers. */
internal class MovingAverage(private val initial: Double, private val weight: Double = 0.1) {
    /** The current estimate. */
    var value: Double = initial
        private set

    /** Number of samples taken. */
    var samples: Int = 0
        private set

    /** Adds one sample; the first one replaces the initial value. */
    fun add(sample: Double) {
        val bounded = sample.coerceIn(initial / SPREAD, initial * SPREAD)
        value = if (samples == 0) bounded else value + weight * (bounded - value)
        samples++
    }

    private companion object {
        const val SPREAD = 8.0
    }
}
