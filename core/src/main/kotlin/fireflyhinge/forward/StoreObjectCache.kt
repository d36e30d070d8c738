package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * This VM's copy of the objects of one kind. Copies come from the store or from other VMs, and never go back to an
 * older revision. Thread-safe.
 *
 * An object that vanished around an outage of the store is kept for a while, since its writer may still be alive and
 * write it again.
 */
class StoreObjectCache(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var objects = emptyMap<String, StoreItem>()
    private val keptUntil = HashMap<String, Long>()
    private var held = 0L

    /** Revision of the copy; 0 before the first one. */
    val revision: Long @Synchronized get() = held

    /** Objects of the copy by name, with those whose absence is not certain yet. */
    @Synchronized
    fun items(): Map<String, StoreItem> = objects

    /** The copy as the store would list it: without objects that are kept although they are absent. */
    @Synchronized
    fun listing(): StoreReadResult.Listing {
        val present = objects.filterKeys { it !in keptUntil }
        return StoreReadResult.Listing(present.values.toList(), held)
    }

    /** Replaces the copy by a complete listing. Absent objects are kept for [retentionMillis]. */
    @Synchronized
    fun replace(items: List<StoreItem>, revision: Long, retentionMillis: Long): Boolean {
        if (revision < held) return false
        val next = items.associateBy { it.name }
        val absent = objects.keys - next.keys
        keptUntil.keys.removeAll(next.keys)
        val kept = keep(absent, retentionMillis)
        objects = next + objects.filterKeys { it in kept }
        held = revision
        return true
    }

    /** Applies changes that follow the revision held. Removed objects are kept for [retentionMillis]. */
    @Synchronized
    fun apply(changes: StoreReadResult.Changes, retentionMillis: Long): Boolean {
        if (changes.revision < held) return false
        val removed = changes.removed.filterTo(HashSet()) { it in objects }
        val changed = changes.changed.associateBy { it.name }
        keptUntil.keys.removeAll(changed.keys)
        objects = objects + changed - (removed - keep(removed, retentionMillis))
        held = changes.revision
        return true
    }

    /** Those of [absent] that are kept. An absence that was seen before lasts as long as it would have. */
    private fun keep(absent: Set<String>, millis: Long): Set<String> {
        if (millis > 0) absent.forEach { keptUntil.getOrPut(it) { clock.millis() + millis } }
        return absent.filterTo(HashSet()) { it in keptUntil }
    }

    /** Drops objects whose absence has lasted long enough. Returns whether any was dropped. */
    @Synchronized
    fun evictExpired(): Boolean {
        val now = clock.millis()
        val gone = keptUntil.filterValues { it <= now }.keys.toSet()
        if (gone.isEmpty()) return false
        keptUntil.keys.removeAll(gone)
        objects = objects - gone
        return true
    }

    /** Milliseconds until [evictExpired] has something to drop, at least 1; null if no absent object is kept. */
    @Synchronized
    fun millisToNextEviction(): Long? = keptUntil.values.minOrNull()?.let { maxOf(1, it - clock.millis()) }
}
