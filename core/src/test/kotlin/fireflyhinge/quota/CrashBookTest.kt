package fireflyhinge.quota

import fireflyhinge.peer.CrashReport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class CrashBookTest {
    private data class Case(val name: String, val crashes: List<CrashReport>, val suspect: Boolean, val barred: Boolean)

    private fun crash(number: Int, vararg others: String, alone: Boolean = false) =
        CrashReport("replica$number", 1, "shop", setOf("f") + others, onlySuspect = alone)

    /** Guards against a request that crashes more than three replicas (P11) and against barring innocent ones. */
    @TestFactory
    fun attribution(): List<DynamicTest> =
        listOf(
            Case("none", emptyList(), suspect = false, barred = false),
            Case("one crash", listOf(crash(1)), suspect = true, barred = false),
            Case("one crash reported twice", listOf(crash(1), crash(1, alone = true)), suspect = true, barred = false),
            Case("second as only suspect", listOf(crash(1), crash(2, alone = true)), suspect = true, barred = true),
            Case("second beside innocents", listOf(crash(1), crash(2, "g", alone = true)), true, barred = true),
            Case("second beside a suspect", listOf(crash(1, "g"), crash(2, "g", alone = true)), true, barred = false),
            Case("second, not alone", listOf(crash(1), crash(2)), suspect = true, barred = false),
            Case("third in any case", listOf(crash(1), crash(2), crash(3)), suspect = true, barred = true),
        ).map { case ->
            dynamicTest(case.name) {
                val book = CrashBook()
                case.crashes.forEach { book.report(it, now = 0) }
                assertEquals(case.suspect, book.isSuspect("f", now = 1))
                assertEquals(case.barred, book.barredFor("f", now = 1) != null)
                assertNull(book.barredFor("g", now = 1))
            }
        }

    /** Guards against a bar that does not end and against memory that grows with the number of fingerprints. */
    @Test
    fun recordsExpireAndAreBounded() {
        val book = CrashBook(capacity = 10)
        repeat(3) { book.report(crash(it), now = 0) }
        val end = 600_000_000_000
        assertEquals(1, book.barredFor("f", end - 1))
        assertNull(book.barredFor("f", end))
        repeat(100) { book.report(CrashReport("r", 1, "shop", setOf("g$it"), onlySuspect = false), end) }
        assertTrue(book.size <= 10)
        assertEquals(false, book.isSuspect("f", end))
    }
}
