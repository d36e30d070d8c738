package fireflyhinge.time

/**
 * Measures the time since its creation. Of the monotonic clock, which may stand still while the machine is suspended,
 * and the time of day, which may be set, the one that shows more time counts.
 *
 * @param dayMillis the time of day in milliseconds.
 */
class Stopwatch(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val dayMillis: () -> Long = System::currentTimeMillis,
) {
    private val startMillis = clock.millis()
    private val startDayMillis = dayMillis()

    /** Milliseconds since the creation. */
    val elapsedMillis: Long get() = maxOf(clock.millis() - startMillis, dayMillis() - startDayMillis)
}
