package fireflyhinge.daemon.lease

import fireflyhinge.lease.RegionView
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import org.slf4j.LoggerFactory

/** Reads the shard maps from the store when that is wanted, and writes the book's changes to its region's map. */
internal class MapKeeper(
    private val store: MapStore,
    private val book: LockedBook,
    private val clock: MonotonicClock,
    private val learn: (StoredObject) -> Unit,
) {
    private var readAt: Long? = null
    private var failedAt: Long? = null

    /** Set to read all maps at the next pass. */
    @Volatile
    var refreshWanted = true

    /** When the last complete read began, in nanoseconds of [clock], or null if there was none. */
    @Volatile
    var lastRead: Long? = null
        private set

    /** One pass; runs in the store thread. */
    fun pass(view: RegionView) {
        if (waits(failedAt)) return
        if (book.use { outdated }) refreshWanted = true
        if (refreshWanted && !waits(readAt)) readMaps()
        // Without an answer it is not known whether the map exists, and a first write would only be refused.
        if (!refreshWanted && book.use { now -> hasNextWrite(view, now) }) writeMap(view)
    }

    /** Every daemon reads at once when an owner changes or the store is down, so each reads at most once a second. */
    private fun waits(since: Long?) = since != null && clock.millis() - since < PAUSE_MILLIS

    private fun readMaps() {
        readAt = clock.millis()
        val began = clock.nanos()
        val all = store.list()
        if (all !is StoreResult.Ok) return failed()
        refreshWanted = false
        all.value.forEach(learn)
        lastRead = began
    }

    private fun writeMap(view: RegionView) {
        // A write of unknown effect bounds the lease. Reading first avoids it while the store is known to be down.
        store.probe()?.let(learn)
        if (!store.answers) return failed()
        val write = book.use { now -> nextWrite(view, now) } ?: return
        when (val result = store.put(write)) {
            is StoreResult.Ok -> learn(result.value)
            is StoreResult.Conflict -> result.current?.let(learn) ?: book.use { onWriteFailed(uncertain = false) }
            else -> {
                log.warn("shard map was not written: {}", result)
                book.use { onWriteFailed(uncertain = result is StoreResult.Unknown) }
                failed()
            }
        }
    }

    private fun failed() {
        failedAt = clock.millis()
    }

    private companion object {
        const val PAUSE_MILLIS = 1000L
        val log = LoggerFactory.getLogger(MapKeeper::class.java)
    }
}
