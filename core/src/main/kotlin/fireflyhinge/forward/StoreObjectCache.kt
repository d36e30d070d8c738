package fireflyhinge.forward

import fireflyhinge.auth.sha256Hex
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Local cache of the store's objects of one kind, filled from the store or from other VMs. Its version, ordered by era
 * and then by revision, never decreases. Thread-safe.
 *
 * The objects in force may differ from the store's list for a while. An object that disappears around an outage or a
 * restore is retained, since its writer may still be alive and write it again. An object that a restore sets back, or
 * brings back after its removal, stays as it was until its writer writes it again.
 *
 * @param keepsContents whether a restored object with an older content is held back too; not needed where contents have
 * a version of their own.
 */
class StoreObjectCache(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    keepsContents: Boolean = true,
) {
    private var listed = emptyMap<String, StoreItem>()
    private var objects = emptyMap<String, StoreItem>()
    private val overrides = CopyOverrides(keepsContents)
    private var cachedRevision = 0L
    private var cachedEra = 0L

    /** Revision of the cached objects; 0 before the first listing. */
    val revision: Long @Synchronized get() = cachedRevision

    /** Era of the store that [revision] belongs to. */
    val era: Long @Synchronized get() = cachedEra

    /** Number of objects that differ from the store's list: retained, held back, or in force with another content. */
    val overridden: Int @Synchronized get() = overrides.size

    /**
     * Digest of the cached objects as the store lists them; empty before the first listing. It covers names and
     * revisions, and contents in a store with eras, where a revision does not identify a content.
     */
    var digest = ""
        @Synchronized get
        private set

    /** Objects in force by name, including absent ones that are still retained. */
    @Synchronized
    fun items(): Map<String, StoreItem> = objects

    /** The cached objects as the store listed them. */
    @Synchronized
    fun listing(): StoreReadResult.Listing = StoreReadResult.Listing(listed.values.toList(), cachedRevision, cachedEra)

    /**
     * Replaces the cache with a complete listing. Absent objects are retained for [retentionMillis]. If the listing is
     * the first of a new era, the state in force takes precedence for [precedenceMillis].
     * Returns false if the listing is older than the cached one.
     */
    @Synchronized
    fun replace(
        items: List<StoreItem>,
        revision: Long,
        retentionMillis: Long,
        era: Long = 0,
        precedenceMillis: Long = 0,
    ): Boolean {
        if (era < cachedEra || era == cachedEra && revision < cachedRevision) return false
        val next = items.associateBy { it.name }
        if (era > cachedEra) {
            overrides.enterEra(objects, next, expiryAfter(maxOf(retentionMillis, precedenceMillis)))
        } else {
            overrides.update(listed, objects, next, expiryAfter(retentionMillis))
        }
        commit(next, revision, era)
        return true
    }

    /**
     * Applies changes since the cached revision. Removed objects are retained for [retentionMillis].
     * Returns false if the changes are older than the cached revision or of another era.
     */
    @Synchronized
    fun apply(changes: StoreReadResult.Changes, retentionMillis: Long): Boolean {
        if (changes.era != cachedEra || changes.revision < cachedRevision) return false
        val next = listed + changes.changed.associateBy { it.name } - changes.removed
        overrides.update(listed, objects, next, expiryAfter(retentionMillis))
        commit(next, changes.revision, cachedEra)
        return true
    }

    private fun expiryAfter(millis: Long): Long? = if (millis > 0) clock.millis() + millis else null

    private fun commit(next: Map<String, StoreItem>, revision: Long, era: Long) {
        listed = next
        cachedRevision = revision
        cachedEra = era
        digest = digestOf(listed, era)
        objects = overrides.applyTo(listed)
    }

    /** Evicts absent objects whose retention has expired, and restored state held back. Returns whether any was. */
    @Synchronized
    fun evictExpired(): Boolean {
        if (!overrides.expire(clock.millis())) return false
        objects = overrides.applyTo(listed)
        return true
    }

    /** Milliseconds until the next object expires in [evictExpired], at least 1; null if none does. */
    @Synchronized
    fun millisToNextEviction(): Long? = overrides.nextExpiry?.let { maxOf(1, it - clock.millis()) }

    private companion object {
        const val DIGEST_CHARS = 16

        fun digestOf(objects: Map<String, StoreItem>, era: Long): String {
            val text =
                objects.values.sortedBy { it.name }.joinToString("\n") {
                    if (era == 0L) "${it.revision} ${it.name}" else "${it.revision} ${it.name} ${it.body}"
                }
            val covered = if (era == 0L) text else "$era\n$text"
            return sha256Hex(covered.toByteArray()).take(DIGEST_CHARS)
        }
    }
}
