package fireflyhinge.quota

import fireflyhinge.peer.CrashReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class CrashTrackerTest {
    private data class Case(val name: String, val crashes: List<CrashReport>, val counted: Int, val other: Int = 0)

    private fun crash(number: Int, vararg others: String, incarnation: Long = 1) =
        CrashReport("replica$number", incarnation, "shop", setOf("f") + others)

    /** Guards against a request that crashes more than three replicas (P11), and against barring other requests. */
    @TestFactory
    fun attribution(): List<DynamicTest> =
        listOf(
            Case("none", emptyList(), counted = 0),
            Case("one crash", listOf(crash(1)), counted = 1),
            Case("one crash reported twice", listOf(crash(1), crash(1)), counted = 1),
            Case("one replica crashed twice", listOf(crash(1), crash(1, incarnation = 2)), counted = 2),
            Case("two crashes", listOf(crash(1), crash(2)), counted = 2),
            Case("two beside the same request", listOf(crash(1, "g"), crash(2, "g")), counted = 2, other = 2),
            Case("third beside another request", listOf(crash(1, "g"), crash(2), crash(3)), counted = 3, other = 1),
        ).map { case ->
            dynamicTest(case.name) {
                val tracker = CrashTracker()
                case.crashes.forEach { tracker.report(it, now = 0) }
                assertEquals(case.counted, tracker.crashes("f", now = 1))
                assertEquals(case.other, tracker.crashes("g", now = 1))
                assertEquals(case.counted == 3, tracker.barredFor("f", now = 1) != null)
                assertNull(tracker.barredFor("g", now = 1))
            }
        }

    /** Guards against a bar that never ends, and against memory that grows with the number of fingerprints. */
    @Test
    fun recordsExpireAndAreBounded() {
        val tracker = CrashTracker(capacity = 10)
        repeat(3) { tracker.report(crash(it), now = 0) }
        val end = 600_000_000_000
        assertEquals(1, tracker.barredFor("f", end - 1))
        assertNull(tracker.barredFor("f", end))
        repeat(100) { tracker.report(CrashReport("r", 1, "shop", setOf("g$it")), end) }
        assertTrue(tracker.size <= 10)
        assertEquals(0, tracker.crashes("f", end))
    }
}
