package fireflyhinge.standin.engine

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PrefixCacheTest {
    /** Guards against a cache that grows without limit, or evicts blocks in use before others. */
    @Test
    fun leastRecentlyUsedBlockIsEvicted() {
        val events = CacheEventLog(lagMillis = 0, lossPercent = 0)
        val cache = PrefixCache(capacity = 2, events = events)
        cache.store(scope = "w1", names = listOf("a", "b"))
        assertEquals(1, cache.match(listOf("a", "x")))
        cache.store(scope = "w1", names = listOf("c"))
        assertEquals(listOf(1, 0, 1), listOf("a", "b", "c").map { cache.match(listOf(it)) })
        val expected = listOf("a" to true, "b" to true, "c" to true, "b" to false)
        assertEquals(expected, events.after(0).map { it.block to it.stored })
    }

    /** Guards against cache events that are published at once or without gaps. */
    @Test
    fun eventsAreLateAndHaveGaps() {
        val block = CachedBlock(scope = "w1", name = "a", depth = 0)
        val late = CacheEventLog(lagMillis = 60_000, lossPercent = 0).apply { add(block = block, stored = true) }
        assertEquals(0, late.after(0).size)
        val lossy = CacheEventLog(lagMillis = 0, lossPercent = 30)
        repeat(1_000) { lossy.add(block = block, stored = true) }
        assertTrue(lossy.after(0).size in 600..800)
    }
}
