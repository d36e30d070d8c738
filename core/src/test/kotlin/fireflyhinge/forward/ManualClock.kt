package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock

/** A clock that a test advances. */
internal class ManualClock : MonotonicClock {
    private var nanos = 1_000_000_000L

    override fun nanos(): Long = nanos

    fun advance(millis: Long) {
        nanos += millis * 1_000_000
    }
}
