package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OrderTurnsTest {
    private val clock = ManualClock()
    private var wall = 1_000_000L
    private val turns = OrderTurns("vm-1/1", pauseMillis = 3_000, clock) { wall }

    /** Guards against two VMs that give orders within the pause, and against an earlier process of the same VM. */
    @Test
    fun anotherHolderIsReplacedOnlyAfterItsClaimAndThePause() {
        assertTrue(turns.mayClaim(), "nobody has claimed yet")
        listOf("vm-2/1", "vm-1/0").forEachIndexed { index, other ->
            turns.seen(OrderClaim(other, revision = 10L + index))
            assertFalse(turns.mayClaim(), other)
            clock.advance(4_999)
            assertFalse(turns.mayClaim(), other)
            clock.advance(1)
            assertTrue(turns.mayClaim(), other)
        }
        clock.advance(60_000)
        turns.seen(OrderClaim("vm-2/1", revision = 12))
        assertFalse(turns.mayClaim(), "a new claim by the same holder")
    }

    /** Guards against a claim that ends unseen while the VM is suspended, and one that was lost to another VM. */
    @Test
    fun aTokenIsValidForAShortTimeByEitherClock() {
        assertNull(turns.token(), "nothing was claimed")
        listOf(
            Triple("fresh", { }, 7L),
            Triple("the process waited", { clock.advance(2_000) }, null),
            Triple("the VM was suspended", { wall += 2_000 }, null),
            Triple("another VM holds it", { turns.seen(OrderClaim("vm-2/1", revision = 8)) }, null),
        ).forEach { (what, happens, expected) ->
            turns.claiming()
            turns.seen(OrderClaim("vm-1/1", revision = 7))
            happens()
            assertEquals(expected, turns.token(), what)
        }
    }
}
