package fireflyhinge.time

/** Measures the time since its creation. */
class Stopwatch(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private val startMillis = clock.millis()

    /** Milliseconds since the creation. */
    val elapsedMillis: Long get() = clock.millis() - startMillis
}
