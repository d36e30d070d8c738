package fireflyhinge.forward

import fireflyhinge.auth.sha256Hex
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Local cache of the store's objects of one kind, filled from the store or from other VMs. Its revision never
 * decreases. Thread-safe.
 *
 * An object that disappears around a store outage is retained for a while, since its writer may still be alive and
 * write it again.
 */
class StoreObjectCache(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var objects = emptyMap<String, StoreItem>()
    private val retainedUntil = HashMap<String, Long>()
    private var cachedRevision = 0L

    /** Revision of the cached objects; 0 before the first listing. */
    val revision: Long @Synchronized get() = cachedRevision

    /** Digest of names and revisions of the cached objects without retained ones; empty before the first listing. */
    var digest = ""
        @Synchronized get
        private set

    /** Cached objects by name, including absent ones that are still retained. */
    @Synchronized
    fun items(): Map<String, StoreItem> = objects

    /** The cached objects as the store would list them, without retained absent ones. */
    @Synchronized
    fun listing(): StoreReadResult.Listing {
        return StoreReadResult.Listing(present().values.toList(), cachedRevision)
    }

    /**
     * Replaces the cache with a complete listing. Absent objects are retained for [retentionMillis].
     * Returns false if [revision] is older than the cached one.
     */
    @Synchronized
    fun replace(items: List<StoreItem>, revision: Long, retentionMillis: Long): Boolean {
        if (revision < cachedRevision) return false
        val next = items.associateBy { it.name }
        val absent = objects.keys - next.keys
        retainedUntil.keys.removeAll(next.keys)
        val retained = retain(absent, retentionMillis)
        objects = next + objects.filterKeys { it in retained }
        cachedRevision = revision
        digest = digestOf(present())
        return true
    }

    /**
     * Applies changes since the cached revision. Removed objects are retained for [retentionMillis].
     * Returns false if the changes are older than the cached revision.
     */
    @Synchronized
    fun apply(changes: StoreReadResult.Changes, retentionMillis: Long): Boolean {
        if (changes.revision < cachedRevision) return false
        val removed = changes.removed.filterTo(HashSet()) { it in objects }
        val changed = changes.changed.associateBy { it.name }
        retainedUntil.keys.removeAll(changed.keys)
        objects = objects + changed - (removed - retain(removed, retentionMillis))
        cachedRevision = changes.revision
        digest = digestOf(present())
        return true
    }

    private fun present() = objects.filterKeys { it !in retainedUntil }

    /** Returns those of [absent] that are retained. Seeing an absence again does not change its expiry. */
    private fun retain(absent: Set<String>, millis: Long): Set<String> {
        if (millis > 0) absent.forEach { retainedUntil.getOrPut(it) { clock.millis() + millis } }
        return absent.filterTo(HashSet()) { it in retainedUntil }
    }

    /** Evicts absent objects whose retention has expired. Returns whether any was evicted. */
    @Synchronized
    fun evictExpired(): Boolean {
        val now = clock.millis()
        val expired = retainedUntil.filterValues { it <= now }.keys.toSet()
        if (expired.isEmpty()) return false
        retainedUntil.keys.removeAll(expired)
        objects = objects - expired
        return true
    }

    /** Milliseconds until the next retained object expires, at least 1; null if none is retained. */
    @Synchronized
    fun millisToNextEviction(): Long? = retainedUntil.values.minOrNull()?.let { maxOf(1, it - clock.millis()) }

    private companion object {
        const val DIGEST_CHARS = 16

        fun digestOf(objects: Map<String, StoreItem>): String {
            val text = objects.values.sortedBy { it.name }.joinToString("\n") { "${it.revision} ${it.name}" }
            return sha256Hex(text.toByteArray()).take(DIGEST_CHARS)
        }
    }
}
