package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreOutageTest {
    private val clock = ManualClock()
    private val outage = StoreOutage(returnMillis = 2_000, clock)

    /** Guards against retaining removed objects without an outage. */
    @Test
    fun withoutAnOutageAnAbsenceIsCertain() {
        assertFalse(outage.answered())
        assertEquals(0, outage.retentionMillis())
    }

    /** Guards against delayed removals after an outage, and against treating absences during one as certain. */
    @Test
    fun absencesAreDoubtedUntilAFixedTimeAfterTheReturn() {
        repeat(3) { outage.failed() }
        assertEquals(3, outage.failures)
        clock.advance(60_000)
        assertEquals(2_000, outage.retentionMillis())
        assertTrue(outage.answered())
        val afterReturn = listOf(0L to 2_000L, 700L to 1_300L, 1_999L to 1L, 2_000L to 0L, 60_000L to 0L)
        var passed = 0L
        for ((millis, expected) in afterReturn) {
            clock.advance(millis - passed)
            passed = millis
            assertFalse(outage.answered())
            assertEquals(expected, outage.retentionMillis(), "$millis ms after the return")
        }
    }
}
