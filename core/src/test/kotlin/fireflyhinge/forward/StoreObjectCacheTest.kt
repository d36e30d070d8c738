package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreObjectCacheTest {
    private val clock = ManualClock()
    private val state = StoreObjectCache(clock)

    private fun item(name: String, revision: Long = 1) = StoreItem(name, revision, "{}")

    private fun removed(vararg names: String, at: Long) = StoreReadResult.Changes(emptyList(), names.toSet(), at)

    /** Guards against dropping replicas that write their entry again after an outage. */
    @Test
    fun objectsAbsentAfterOutageAreRetainedUntilExpiry() {
        state.replace(listOf(item("a"), item("b"), item("c")), revision = 5, retentionMillis = 0)
        state.replace(listOf(item("a")), revision = 9, retentionMillis = 2_000)
        assertEquals(setOf("a", "b", "c"), state.items().keys)
        clock.advance(1_000)
        state.apply(StoreReadResult.Changes(listOf(item("b", 10)), emptySet(), 10), retentionMillis = 2_000)
        clock.advance(1_000)
        assertTrue(state.evictExpired())
        assertEquals(setOf("a", "b"), state.items().keys)
        clock.advance(10_000)
        assertFalse(state.evictExpired())
    }

    /** Guards against requests to a replica whose entry was removed without an outage. */
    @Test
    fun removalWithoutOutageTakesEffectImmediately() {
        state.replace(listOf(item("a"), item("b")), revision = 5, retentionMillis = 0)
        state.apply(removed("a", at = 6), retentionMillis = 0)
        assertEquals(setOf("b"), state.items().keys)
    }

    /** Guards against a retention time that changes when the same absence is seen again. */
    @Test
    fun repeatedAbsenceKeepsExpiry() {
        state.replace(listOf(item("a"), item("b")), revision = 5, retentionMillis = 0)
        assertNull(state.millisToNextEviction())
        state.replace(listOf(item("b")), revision = 6, retentionMillis = 2_000)
        clock.advance(1_500)
        state.replace(listOf(item("b")), revision = 7, retentionMillis = 2_000)
        state.replace(listOf(item("b")), revision = 8, retentionMillis = 0)
        assertEquals(500, state.millisToNextEviction())
        assertEquals(setOf("a", "b"), state.items().keys)
        clock.advance(500)
        assertTrue(state.evictExpired())
        assertEquals(setOf("b"), state.items().keys)
        assertNull(state.millisToNextEviction())
    }

    /** Guards against a configuration that reverts to an older version because of a late copy. */
    @Test
    fun olderCopyIsIgnored() {
        state.replace(listOf(item("a", 7)), revision = 7, retentionMillis = 0)
        assertFalse(state.replace(listOf(item("a", 3)), revision = 6, retentionMillis = 0))
        assertFalse(state.apply(removed("a", at = 6), retentionMillis = 0))
        assertEquals(7, state.items().getValue("a").revision)
    }
}
