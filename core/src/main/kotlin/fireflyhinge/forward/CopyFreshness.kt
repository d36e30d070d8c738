package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.Stopwatch
import kotlin.random.Random

/**
 * Tracks when a copy of the store's objects was last known to lack no change, and tells when to ask the store again: a
 * watch that waits does not distinguish a store without news from one that no longer responds. Thread-safe.
 *
 * @param dayMillis the time of day, which goes on while the machine is suspended.
 */
class CopyFreshness(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val random: Random = Random.Default,
    private val dayMillis: () -> Long = System::currentTimeMillis,
) {
    /** Time since the latest moment of which something was learned. */
    private inner class Age {
        private var since: Stopwatch? = null
        private var atStartMillis = 0L

        val millis: Long? get() = since?.let { atStartMillis + it.elapsedMillis }

        /** Records a moment [ageMillis] ago. Returns whether it is later than the former one. */
        fun confirm(ageMillis: Long): Boolean {
            if (millis.let { it != null && it <= ageMillis }) return false
            since = Stopwatch(clock, dayMillis)
            atStartMillis = ageMillis
            return true
        }
    }

    private val responded = Age()
    private val certain = Age()
    private var limitMillis = 0L

    /** Time since a response showed that the copy lacks no change; null if none did. */
    val ageMillis: Long? @Synchronized get() = responded.millis

    /**
     * Time since the copy certainly lacked no change; null if it never did. A response shows the state after its call
     * was made, but may have been on its way for long, or have waited in a VM that was frozen.
     */
    val certainAgeMillis: Long? @Synchronized get() = certain.millis

    /**
     * Records that a response [ageMillis] ago, to a call [callMillis] ago, showed that the copy lacks no change;
     * [callMillis] is null if that is unknown.
     */
    @Synchronized
    fun confirm(ageMillis: Long = 0, callMillis: Long? = ageMillis) {
        callMillis?.let(certain::confirm)
        if (responded.confirm(ageMillis)) limitMillis = random.nextLong(MIN_OTHERS_AGE_MILLIS, MAX_AGE_MILLIS)
    }

    /**
     * Milliseconds until this VM should ask the store; 0 if that is overdue. One VM is to ask [first]; the others learn
     * of its response, or step in one after another.
     */
    @Synchronized
    fun millisToCheck(first: Boolean): Long {
        val age = responded.millis ?: return 0
        return maxOf(0, (if (first) FIRST_AGE_MILLIS else limitMillis) - age)
    }

    companion object {
        private const val FIRST_AGE_MILLIS = 1_200L
        private const val MIN_OTHERS_AGE_MILLIS = 1_800L

        /** Largest age at which the store is asked; less than the 3 s of the platform's `configApplyMs`. */
        const val MAX_AGE_MILLIS = 2_400L
    }
}
