package fireflyhinge.schedule

/** Exponential moving average. Samples are clamped to within a factor of 8 of [initial] to limit outliers. */
internal class MovingAverage(private val initial: Double, private val weight: Double = 0.1) {
    /** Current average, or [initial] before the first sample. */
    var value: Double = initial
        private set

    /** Number of samples added. */
    var samples: Int = 0
        private set

    /** Adds one sample; the first one replaces the initial value. */
    fun add(sample: Double) {
        val clamped = sample.coerceIn(initial / CLAMP_FACTOR, initial * CLAMP_FACTOR)
        value = if (samples == 0) clamped else value + weight * (clamped - value)
        samples++
    }

    private companion object {
        const val CLAMP_FACTOR = 8.0
    }
}
