package fireflyhinge.time

/** Time source for deadlines and leases. Its values never decrease and are unrelated to the time of day. */
fun interface MonotonicClock {
    /** Nanoseconds since an arbitrary origin that is fixed for the lifetime of the process. */
    fun nanos(): Long

    /** The clock of the running process. */
    companion object {
        val SYSTEM = MonotonicClock { System.nanoTime() }
    }
}

/** Milliseconds on the same scale as [MonotonicClock.nanos], rounded down. */
fun MonotonicClock.millis(): Long = nanos() / NANOS_PER_MILLI

private const val NANOS_PER_MILLI = 1_000_000L
