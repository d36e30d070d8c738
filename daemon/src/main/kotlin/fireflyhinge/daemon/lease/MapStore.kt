package fireflyhinge.daemon.lease

import fireflyhinge.Json
import fireflyhinge.lease.ShardMap
import fireflyhinge.lease.ShardMapWrite
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WriteCondition
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean

/** Reads and writes shard maps in the platform store, one call at a time in a thread of its own. */
internal class MapStore(private val store: Store, region: String) : AutoCloseable {
    private val name = ShardMap.nameOf(region)
    private val busy = AtomicBoolean(false)
    private val thread = Executors.newSingleThreadExecutor { Thread(it, "shard-store").apply { isDaemon = true } }

    /** Whether the last call was answered. */
    @Volatile
    var answers = true
        private set

    /** Whether no call is running. */
    fun idle(): Boolean = !busy.get()

    /** Runs [work] in the store thread. */
    fun run(work: () -> Unit) {
        if (!busy.compareAndSet(false, true)) return
        thread.execute {
            try {
                work()
            } finally {
                busy.set(false)
            }
        }
    }

    /** All regions' maps. */
    fun list(): StoreResult<List<StoredObject>> = store.list(ShardMap.KIND).also(::note)

    /** This region's map, or null if it is absent or the store does not answer. */
    fun probe(): StoredObject? = (store.get(name).also(::note) as? StoreResult.Ok)?.value

    /** Sends [write]. */
    fun put(write: ShardMapWrite): StoreResult<StoredObject> {
        val condition = write.version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        return store.put(name, Json.encode(write.map), condition).also(::note)
    }

    private fun note(result: StoreResult<*>) {
        answers = result !is StoreResult.Unavailable && result !is StoreResult.Unknown
    }

    override fun close() = thread.shutdown()
}
