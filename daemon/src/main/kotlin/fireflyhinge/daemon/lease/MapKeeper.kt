package fireflyhinge.daemon.lease

import fireflyhinge.lease.RegionView
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject

/** Reads the shard maps from the store when that is wanted, and writes the book's changes to its region's map. */
internal class MapKeeper(
    private val store: MapStore,
    private val book: LockedBook,
    private val learn: (StoredObject) -> Unit,
) {
    /** Set to read all maps at the next pass. */
    @Volatile
    var refreshWanted = true

    /** One pass; runs in the store thread. */
    fun pass(view: RegionView) {
        if (book.use { behind }) refreshWanted = true
        if (refreshWanted) readMaps()
        // Without an answer it is not known whether the map exists, and a first write would only be refused.
        if (!refreshWanted && book.use { now -> wantsWrite(view, now) }) writeMap(view)
    }

    private fun readMaps() {
        val all = store.list()
        if (all !is StoreResult.Ok) return
        refreshWanted = false
        all.value.forEach(learn)
    }

    private fun writeMap(view: RegionView) {
        // A write of unknown effect bounds the lease. Reading first avoids it while the store is known to be down.
        store.probe()?.let(learn)
        if (!store.answers) return
        val write = book.use { now -> nextWrite(view, now) } ?: return
        when (val result = store.put(write)) {
            is StoreResult.Ok -> learn(result.value)
            is StoreResult.Conflict -> result.current?.let(learn) ?: failed(uncertain = false)
            is StoreResult.Unknown -> failed(uncertain = true)
            else -> failed(uncertain = false)
        }
    }

    private fun failed(uncertain: Boolean) = book.use { writeFailed(uncertain) }
}
