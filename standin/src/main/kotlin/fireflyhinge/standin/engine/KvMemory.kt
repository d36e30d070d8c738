package fireflyhinge.standin.engine

import fireflyhinge.engine.EngineRequestId

/** KV caches of finished prefills, dropped when they expire. */
internal class KvMemory(
    private val onExpired: (KvEntry) -> Unit,
) {
    private val entries = HashMap<String, KvEntry>()

    @Synchronized
    fun put(handle: String, entry: KvEntry) {
        sweep()
        entries[handle] = entry
    }

    /** Starts the export of [handle]; null if it is unknown, expired or already being exported. */
    @Synchronized
    fun beginExport(handle: String): KvEntry? {
        sweep()
        return entries[handle]?.takeIf { !it.exporting }?.also { it.exporting = true }
    }

    @Synchronized
    fun remove(handle: String) {
        entries.remove(handle)
    }

    @Synchronized
    fun all(): List<KvEntry> {
        sweep()
        return entries.values.toList()
    }

    /** Drops the entries for which [matches] holds. */
    @Synchronized
    fun cancel(matches: (EngineRequestId) -> Boolean) {
        entries.values.filter { matches(it.id) }.forEach { it.cancelled = true }
        entries.values.removeIf { it.cancelled }
    }

    private fun sweep() {
        val now = System.nanoTime()
        val expired = entries.filterValues { !it.exporting && it.expiresAt - now <= 0 }
        expired.forEach { (handle, entry) ->
            entries.remove(handle)
            onExpired(entry)
        }
    }
}
