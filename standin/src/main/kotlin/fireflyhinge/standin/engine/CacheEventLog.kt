package fireflyhinge.standin.engine

import java.util.Random
import java.util.concurrent.TimeUnit

/** Publishes cache events late and loses some of them. */
internal class CacheEventLog(private val lagMillis: Long, private val lossPercent: Int) {
    private class Entry(val event: CacheEvent, val visibleFrom: Long)

    private val random = Random(1)
    private val entries = ArrayDeque<Entry>()
    private var seq = 0L

    @Synchronized
    fun add(block: CachedBlock, stored: Boolean) {
        seq += 1
        if (random.nextInt(PERCENT) < lossPercent) return
        val event = CacheEvent(seq = seq, scope = block.scope, block = block.name, depth = block.depth, stored = stored)
        val visibleFrom = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lagMillis)
        entries.addLast(Entry(event = event, visibleFrom = visibleFrom))
        if (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    /** Published events with a number above [since]. */
    @Synchronized
    fun after(since: Long): List<CacheEvent> {
        val now = System.nanoTime()
        return entries.filter { it.event.seq > since && it.visibleFrom <= now }.map { it.event }
    }

    private companion object {
        const val PERCENT = 100
        const val MAX_ENTRIES = 10_000
    }
}
