package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Tracks outages of the store and how long absent objects must be retained: writers that lost their entry in an outage
 * write it again within [returnMillis] of the store's recovery. Thread-safe.
 */
class StoreOutage(private val returnMillis: Long, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var recoveredAt: Long? = null

    /** Consecutive calls without a usable response. */
    var failures = 0
        @Synchronized get
        private set

    /** Records a call without a usable response. */
    @Synchronized
    fun failed() {
        failures++
    }

    /** Records a response of the store. Returns whether it ended an outage. */
    @Synchronized
    fun answered(): Boolean {
        if (failures == 0) return false
        failures = 0
        recoveredAt = clock.millis()
        return true
    }

    /**
     * Retention time of an object that is absent now; 0 if its absence is certain. The time counts from the store's
     * recovery, so that an earlier outage does not delay later removals.
     */
    @Synchronized
    fun retentionMillis(): Long {
        if (failures > 0) return returnMillis
        val recovered = recoveredAt ?: return 0
        return maxOf(0, recovered + returnMillis - clock.millis())
    }
}
