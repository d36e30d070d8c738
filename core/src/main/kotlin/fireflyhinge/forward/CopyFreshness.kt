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
    /** Time since the last confirmation, and the age of the copy at that time. */
    private var sinceConfirmed: Stopwatch? = null
    private var confirmedAgeMillis = 0L
    private var limitMillis = 0L

    /** Time since the copy was known to lack no change; null if it never was. */
    val ageMillis: Long?
        @Synchronized get() = sinceConfirmed?.let { confirmedAgeMillis + it.elapsedMillis }

    /** Records that the copy lacked no change [ageMillis] ago. */
    @Synchronized
    fun confirm(ageMillis: Long = 0) {
        if (this.ageMillis.let { it != null && it <= ageMillis }) return
        sinceConfirmed = Stopwatch(clock, dayMillis)
        confirmedAgeMillis = ageMillis
        limitMillis = random.nextLong(MIN_OTHERS_AGE_MILLIS, MAX_AGE_MILLIS)
    }

    /**
     * Milliseconds until this VM should ask the store; 0 if that is overdue. One VM is to ask [first]; the others learn
     * of its response, or step in one after another.
     */
    @Synchronized
    fun millisToCheck(first: Boolean): Long {
        val age = ageMillis ?: return 0
        return maxOf(0, (if (first) FIRST_AGE_MILLIS else limitMillis) - age)
    }

    companion object {
        private const val FIRST_AGE_MILLIS = 1_200L
        private const val MIN_OTHERS_AGE_MILLIS = 1_800L

        /** Largest age at which the store is asked; less than the 3 s of the platform's `configApplyMs`. */
        const val MAX_AGE_MILLIS = 2_400L
    }
}
