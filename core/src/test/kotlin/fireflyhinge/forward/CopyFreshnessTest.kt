package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CopyFreshnessTest {
    private val clock = ManualClock()
    private var dayMillis = 1_000_000L
    private val freshness = CopyFreshness(clock, dayMillis = { dayMillis })

    /** Guards against a silent store that is asked again too late for a change to take effect in time. */
    @Test
    fun theStoreIsAskedBeforeTheCopyIsTooOld() {
        assertEquals(0, freshness.millisToCheck(first = false))
        repeat(100) {
            freshness.confirm()
            val first = freshness.millisToCheck(first = true)
            val other = freshness.millisToCheck(first = false)
            assertTrue(first in 1..other - SPREAD_MILLIS) { "$first, others $other" }
            assertTrue(other < APPLY_MILLIS - SPREAD_MILLIS) { "others $other" }
            clock.advance(other)
            assertEquals(0, freshness.millisToCheck(first = false))
        }
    }

    /** Guards against a late report of another VM that makes a copy look older or newer than it is. */
    @Test
    fun onlyANewerConfirmationCounts() {
        assertNull(freshness.ageMillis)
        freshness.confirm(ageMillis = 400)
        assertEquals(400, freshness.ageMillis)
        val left = freshness.millisToCheck(first = false)
        freshness.confirm(ageMillis = 900)
        assertEquals(400, freshness.ageMillis)
        assertEquals(left, freshness.millisToCheck(first = false))
        clock.advance(100)
        assertEquals(500, freshness.ageMillis)
    }

    /** Guards against checks that read a large change again since the first response to it took long. */
    @Test
    fun checksFollowTheResponseAndCertaintyTheCall() {
        freshness.confirm(callMillis = 2_000)
        assertEquals(0, freshness.ageMillis)
        assertEquals(2_000, freshness.certainAgeMillis)
        val left = freshness.millisToCheck(first = false)
        freshness.confirm(ageMillis = 700)
        assertEquals(700, freshness.certainAgeMillis)
        assertEquals(left, freshness.millisToCheck(first = false))
    }

    /** Guards against a copy that passes for recent because the monotonic clock stood still during a suspension. */
    @Test
    fun aSuspensionMakesACopyOlder() {
        for ((monotonic, day, age) in listOf(listOf(500L, 5_000L, 5_000L), listOf(500L, -2_000L, 500L))) {
            freshness.confirm()
            clock.advance(monotonic)
            dayMillis += day
            assertEquals(listOf(age, age), listOf(freshness.ageMillis, freshness.certainAgeMillis))
            assertEquals(age > APPLY_MILLIS, freshness.millisToCheck(first = false) == 0L)
        }
    }

    private companion object {
        /** Time within which changes must take effect (the platform's `configApplyMs`). */
        const val APPLY_MILLIS = 3_000L

        /** Time in which a response reaches the other VMs. */
        const val SPREAD_MILLIS = 500L
    }
}
