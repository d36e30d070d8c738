package fireflyhinge.forward

/**
 * Objects whose state in force differs from the store's list for a while: absent ones that are retained, and those that
 * a restore from a backup set back or brought back after their removal.
 *
 * @param keepsContents whether a restored object with an older content is held back too.
 */
internal class CopyOverrides(private val keepsContents: Boolean) {
    /** [item] is in force in place of [listed] until [until]; null stands for no object. */
    private class Override(val item: StoreItem?, val listed: StoreItem?, val until: Long)

    private val overrides = HashMap<String, Override>()
    private val removed = RemovedRevisions()

    /** Number of such objects. */
    val size: Int get() = overrides.size

    /** Time at which the next one expires, or null. */
    val nextExpiry: Long? get() = overrides.values.minOfOrNull { it.until }

    /** The objects in force while the store lists [listed]. */
    fun applyTo(listed: Map<String, StoreItem>): Map<String, StoreItem> {
        removed.removeAll { it in listed && it !in overrides }
        val inForce = overrides.mapNotNull { (name, override) -> override.item?.let { name to it } }
        return listed - overrides.keys + inForce
    }

    /**
     * Moves from the list [listed], while [objects] are in force, to [next] of the same era. Absent objects are
     * retained until [until] if that is not null. Seeing an absence again does not change its expiry.
     */
    fun update(
        listed: Map<String, StoreItem>,
        objects: Map<String, StoreItem>,
        next: Map<String, StoreItem>,
        until: Long?,
    ) {
        (listed - next.keys).forEach { (name, item) -> removed.add(name, item.revision) }
        // An object that differs from its restored state was written or removed since.
        overrides.entries.removeAll { (name, override) -> next[name] != override.listed }
        if (until == null) return
        (objects - next.keys - overrides.keys).forEach { (name, held) -> overrides[name] = Override(held, null, until) }
    }

    /**
     * Moves, while [objects] are in force, to [next], the first list of a new era, in which objects may be in the state
     * of a backup. What differs from [objects] is held back until [until] if that is not null.
     */
    fun enterEra(objects: Map<String, StoreItem>, next: Map<String, StoreItem>, until: Long?) {
        overrides.clear()
        if (until == null) return
        for ((name, held) in objects) {
            val item = next[name]
            if (item == null || keepsContents && mayBeOlder(item, held)) overrides[name] = Override(held, item, until)
        }
        for ((name, item) in next) {
            val mayBeRemoved = item.revision <= (removed[name] ?: -1)
            if (name !in objects && mayBeRemoved) overrides[name] = Override(null, item, until)
        }
    }

    /** An item with a higher revision than the held one was written after the restore: the backup has none. */
    private fun mayBeOlder(item: StoreItem, held: StoreItem) =
        item.body != held.body && item.revision <= held.revision

    /** Drops those that expire until [now]. Returns whether there were any. */
    fun expire(now: Long): Boolean = overrides.entries.removeAll { it.value.until <= now }
}
