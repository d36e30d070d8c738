package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreErasTest {
    private val clock = ManualClock()
    private val eras = StoreEras(contactMillis = 4_000, clock)

    /** Guards against a late response of an older era that is used. */
    @Test
    fun onlyTheHighestEraIsCurrent() {
        assertEquals(listOf(true, true, true, false, true), listOf(0L, 2L, 2L, 1L, 3L).map(eras::observe))
        assertEquals(3, eras.known)
    }

    /** Guards against restored state that is held back without a bound, or not anew after a second restore. */
    @Test
    fun precedenceIsBoundedFromTheFirstCopyOfAnEra() {
        val kinds = listOf(StoreObjectKind.REPLICAS, StoreObjectKind.CONFIGURATION)
        eras.observe(1)
        clock.advance(60_000)
        assertEquals(listOf(2_200L, 4_000L), kinds.map(eras::precedenceMillis))
        clock.advance(3_000)
        assertEquals(listOf(0L, 1_000L), kinds.map(eras::precedenceMillis))
        eras.observe(2)
        assertEquals(listOf(2_200L, 4_000L), kinds.map(eras::precedenceMillis))
    }

    /** Guards against copies of an older era, or without one, that replace newer ones. */
    @Test
    fun copiesAreOrderedByEraAndThenByRevision() {
        val newer = CopyVersion(3, era = 2)
        listOf(CopyVersion(9), CopyVersion(9, era = 1), CopyVersion(2, era = 2), newer).forEach {
            assertFalse(it.newerThan(newer), "$it")
        }
        assertTrue(newer.newerThan(CopyVersion(9, era = 1)))
        assertTrue(CopyVersion(4, era = 2).newerThan(newer))
    }

    /** Guards against copies that stay different, and against listings because of builds without eras. */
    @Test
    fun onlyCopiesOfOneVersionConflict() {
        val own = CopyVersion(3, "a", era = 2)
        assertTrue(CopyVersion(3, "b", era = 2).conflictsWith(own))
        val others = listOf(CopyVersion(3, "b", era = 1), CopyVersion(4, "b", era = 2), CopyVersion(3, era = 2))
        (others + own + CopyVersion(3, "b")).forEach { assertFalse(it.conflictsWith(own), "$it") }
        assertFalse(CopyVersion(3, "b").conflictsWith(CopyVersion(3, "a")))
    }
}
