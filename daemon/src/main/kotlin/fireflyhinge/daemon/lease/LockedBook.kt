package fireflyhinge.daemon.lease

import fireflyhinge.lease.LeaseStateMachine
import fireflyhinge.time.MonotonicClock

/** The lease book under its lock; each use reads the clock inside the lock, so that times never go back. */
internal class LockedBook(private val book: LeaseStateMachine, private val clock: MonotonicClock) {
    /** Runs [block] with the book and the present time. */
    fun <T> use(block: LeaseStateMachine.(now: Long) -> T): T = synchronized(this) { book.block(clock.nanos()) }
}
