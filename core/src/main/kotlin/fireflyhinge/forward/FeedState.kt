package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * This VM's copy of the objects of one kind. Copies come from the store or from other VMs, and never go back to an
 * older revision. Thread-safe.
 *
 * An object that vanished while the store was away is kept for [graceMillis] after its return, since its writer may
 * still be alive and write it again.
 */
class FeedState(private val graceMillis: Long, private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private var objects = emptyMap<String, FeedItem>()
    private val missingSince = HashMap<String, Long>()
    private var held = 0L

    /** Revision of the copy; 0 before the first one. */
    val revision: Long @Synchronized get() = held

    /** Objects of the copy by name, with those whose absence is not certain yet. */
    @Synchronized
    fun items(): Map<String, FeedItem> = objects

    /** Replaces the copy by a complete listing. [doubtful] says that absent objects may come back. */
    @Synchronized
    fun replace(items: List<FeedItem>, revision: Long, doubtful: Boolean): Boolean {
        if (revision < held) return false
        val next = items.associateBy { it.name }
        val absent = objects.keys - next.keys
        missingSince.keys.removeAll(next.keys)
        val kept = if (doubtful) absent.onEach { missingSince.getOrPut(it) { clock.millis() } } else emptySet()
        objects = next + objects.filterKeys { it in kept }
        held = revision
        return true
    }

    /** Applies changes that follow the revision held. */
    @Synchronized
    fun apply(changes: FeedAnswer.Changes, doubtful: Boolean): Boolean {
        if (changes.revision < held) return false
        val removed = if (doubtful) emptySet() else changes.removed
        if (doubtful) changes.removed.filter { it in objects }.forEach { missingSince.getOrPut(it) { clock.millis() } }
        val changed = changes.changed.associateBy { it.name }
        missingSince.keys.removeAll(changed.keys)
        objects = objects + changed - removed
        held = changes.revision
        return true
    }

    /** Drops objects whose absence has lasted long enough. Returns whether any was dropped. */
    @Synchronized
    fun settle(): Boolean {
        val now = clock.millis()
        val gone = missingSince.filterValues { now - it >= graceMillis }.keys.toSet()
        if (gone.isEmpty()) return false
        missingSince.keys.removeAll(gone)
        objects = objects - gone
        return true
    }
}
