package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * The era of the store, which increases with each restore from a backup, as known to this VM from responses of the
 * store and from copies of other VMs. Thread-safe.
 *
 * @param contactMillis time after a restore from which on the operator's objects are complete again.
 */
class StoreEras(
    private val contactMillis: Long = DEFAULT_CONTACT_MILLIS,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private var firstCopyAt: Long? = null

    /** The highest era seen; 0 before any is seen and for a store without eras. */
    var known = 0L
        @Synchronized get
        private set

    /** Records that [era] exists. Returns false if it is older than the known one. */
    @Synchronized
    fun observe(era: Long): Boolean {
        if (era > known) {
            known = era
            firstCopyAt = null
        }
        return era == known
    }

    /**
     * Time left in which the state in force before the restore takes precedence over the store's objects of [kind]. It
     * counts from the first call for a copy of the known era: before that, the store may not have accepted writes.
     */
    @Synchronized
    fun precedenceMillis(kind: StoreObjectKind): Long {
        val since = firstCopyAt ?: clock.millis().also { firstCopyAt = it }
        val bound = if (kind.writtenByOperator) contactMillis else REWRITE_MILLIS
        return maxOf(0, since + bound - clock.millis())
    }

    companion object {
        /** Time within which live replicas write a lost entry again (2 s promised by the platform), with a margin. */
        const val REWRITE_MILLIS = 2_200L

        /** The platform's `contactMs` if its settings do not have it. */
        const val DEFAULT_CONTACT_MILLIS = 5_000L
    }
}
