package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Whether the store serves this VM, and how long objects that vanish may still come back: writers that lost their entry
 * in an outage write it again within [returnMillis] of the store's return. Thread-safe.
 */
class StoreOutage(private val returnMillis: Long, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var returnedAt: Long? = null

    /** Calls in a row that got no usable answer. */
    var failures = 0
        @Synchronized get
        private set

    /** A call got no usable answer. */
    @Synchronized
    fun failed() {
        failures++
    }

    /** The store answered. Returns whether that ended an outage. */
    @Synchronized
    fun answered(): Boolean {
        if (failures == 0) return false
        failures = 0
        returnedAt = clock.millis()
        return true
    }

    /**
     * Milliseconds for which an object that is absent now is kept; 0 if its absence is certain. The time counts from
     * the store's return, so a removal after that is not delayed by an outage before it.
     */
    @Synchronized
    fun retentionMillis(): Long {
        if (failures > 0) return returnMillis
        val returned = returnedAt ?: return 0
        return maxOf(0, returned + returnMillis - clock.millis())
    }
}
