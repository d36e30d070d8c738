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

    private fun text(name: String, body: String, revision: Long) = StoreItem(name, revision, body)

    private fun enter(era: Long, revision: Long, vararg items: StoreItem) =
        state.replace(items.toList(), revision, 0, era, precedenceMillis = 2_000)

    private fun inForce() = state.items().mapValues { it.value.body }

    /** Guards against a copy that rejects every list of a restored store, and one that an older era replaces. */
    @Test
    fun listOfHigherEraIsAcceptedWithLowerRevision() {
        assertTrue(enter(1, 50, text("a", "1", 50)))
        assertTrue(enter(2, 20, text("a", "2", 51)))
        assertFalse(enter(1, 90, text("a", "3", 90)))
        assertFalse(state.apply(removed("a", at = 90), retentionMillis = 0))
        assertEquals(listOf(mapOf("a" to "2"), 2L, 20L), listOf(inForce(), state.era, state.revision))
    }

    /** Guards against a state that goes back to that of the backup until writers have written it again, or for good. */
    @Test
    fun restoredStateIsHeldBackUntilItIsWrittenAgainOrTheBoundHasPassed() {
        enter(1, 50, text("kept", "1", 5), text("newer", "new", 30), text("lost", "1", 40), text("gone", "1", 10))
        state.apply(StoreReadResult.Changes(emptyList(), setOf("gone"), 51, era = 1), retentionMillis = 0)
        val before = mapOf("kept" to "1", "newer" to "new", "lost" to "1")
        val backup = arrayOf(text("kept", "1", 5), text("newer", "old", 8), text("gone", "1", 10))
        enter(2, 20, *backup)
        assertEquals(before, inForce())
        assertEquals(backup.toSet(), state.listing().items.toSet())
        clock.advance(1_000)
        val rewritten = listOf(text("newer", "newest", 21), text("gone", "2", 22))
        state.apply(StoreReadResult.Changes(rewritten, emptySet(), 22, era = 2), retentionMillis = 0)
        assertEquals(before + ("newer" to "newest") + ("gone" to "2"), inForce())
        clock.advance(1_000)
        assertTrue(state.evictExpired())
        assertEquals(mapOf("kept" to "1", "newer" to "newest", "gone" to "2"), inForce())
        assertNull(state.millisToNextEviction())
    }

    /** Guards against a store whose list is never authoritative again. */
    @Test
    fun storeListIsAuthoritativeAfterTheBound() {
        enter(1, 50, text("newer", "new", 30), text("gone", "1", 10))
        state.apply(StoreReadResult.Changes(emptyList(), setOf("gone"), 51, era = 1), retentionMillis = 0)
        enter(2, 20, text("newer", "old", 8), text("gone", "1", 10))
        state.replace(listOf(text("newer", "old", 8), text("gone", "1", 10)), 20, 0, 2, precedenceMillis = 0)
        assertEquals(mapOf("newer" to "new"), inForce())
        clock.advance(2_000)
        state.evictExpired()
        assertEquals(mapOf("newer" to "old", "gone" to "1"), inForce())
    }

    /** Guards against a removal after a restore that takes effect only with the bound. */
    @Test
    fun removalAfterRestoreTakesEffectAtOnce() {
        enter(1, 50, text("newer", "new", 30))
        enter(2, 20, text("newer", "old", 8))
        state.apply(StoreReadResult.Changes(emptyList(), setOf("newer"), 21, era = 2), retentionMillis = 0)
        assertEquals(emptyMap<String, String>(), inForce())
    }

    /** Guards against a second restore that ends what the first one holds back. */
    @Test
    fun stateIsHeldBackOverTwoRestoresInARow() {
        enter(1, 50, text("newer", "new", 30), text("lost", "1", 40), text("gone", "1", 10))
        state.apply(StoreReadResult.Changes(emptyList(), setOf("gone"), 51, era = 1), retentionMillis = 0)
        val backup = arrayOf(text("newer", "old", 8), text("gone", "1", 10))
        enter(2, 20, *backup)
        clock.advance(1_500)
        enter(3, 20, *backup)
        clock.advance(1_500)
        state.evictExpired()
        assertEquals(mapOf("newer" to "new", "lost" to "1"), inForce())
        clock.advance(500)
        state.evictExpired()
        assertEquals(mapOf("newer" to "old", "gone" to "1"), inForce())
    }

    /** Guards against a configuration that is held back although its version already decides. */
    @Test
    fun contentsWithTheirOwnVersionAreNotHeldBack() {
        val cache = StoreObjectCache(clock, keepsContents = false)
        cache.replace(listOf(text("main", "3", 30)), 50, 0, 1)
        cache.replace(listOf(text("main", "4", 21)), 21, 0, 2, precedenceMillis = 2_000)
        assertEquals("4", cache.items().getValue("main").body)
    }

    /** Guards against two copies with different contents under one revision that seem equal. */
    @Test
    fun digestCoversContentsInStoreWithEras() {
        val digests =
            listOf("a" to 1L, "b" to 1L, "a" to 2L).map { (body, era) ->
                StoreObjectCache(clock).also { it.replace(listOf(text("x", body, 7)), 7, 0, era) }.digest
            }
        assertEquals(3, digests.toSet().size)
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
