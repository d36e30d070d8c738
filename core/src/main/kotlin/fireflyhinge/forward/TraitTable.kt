package fireflyhinge.forward

/** Evidence on at most [capacity] traits. Not thread-safe; times are monotonic milliseconds. */
internal class TraitTable(private val capacity: Int, private val retentionMillis: Long) {
    /** Evidence on one trait, and when it last changed what the trait is suspected of. */
    class Entry(val evidence: TraitEvidence, val version: Long, val changedAt: Long)

    private val entries = HashMap<Trait, Entry>()

    /** Number of changes so far. */
    var version = 0L
        private set

    val size: Int get() = entries.size

    val all: Collection<Entry> get() = entries.values

    operator fun get(trait: Trait): Entry? = entries[trait]

    /**
     * Adds the crashes [seen] and the time [sound] of a sound response to the evidence on [trait]. Returns whether that
     * changes what the trait is suspected of.
     */
    fun update(trait: Trait, seen: Map<String, TraitEvidence.Seen>, sound: Long?, now: Long): Boolean {
        val held = entries[trait]
        val known = held?.evidence ?: TraitEvidence(trait, emptyMap(), null)
        val next = known.with(seen, sound).since(now - retentionMillis)
        if (next.sightings.isEmpty()) {
            entries -= trait
            return false
        }
        val changed = next.sightings.keys != known.sightings.keys || next.open.keys != known.open.keys
        entries[trait] =
            if (changed || held == null) Entry(next, ++version, now) else Entry(next, held.version, held.changedAt)
        if (entries.size > capacity) evict()
        return changed
    }

    /** Drops the trait with the least evidence against it, the oldest first. */
    private fun evict() {
        val order = compareBy<Entry>({ it.evidence.open.size }, { it.evidence.newestAt }, { it.version })
        entries.values.minWithOrNull(order)?.let { entries -= it.evidence.trait }
    }
}
