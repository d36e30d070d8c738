package fireflyhinge.soak

/** Milliseconds since the soak began. */
internal fun interface Clock {
    fun millis(): Long

    companion object {
        /** A clock that starts now. */
        fun started(): Clock {
            val start = System.nanoTime()
            return Clock { (System.nanoTime() - start) / NANOS_PER_MILLI }
        }

        private const val NANOS_PER_MILLI = 1_000_000
    }
}
