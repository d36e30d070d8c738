package fireflyhinge.forward

/**
 * Evidence on [trait]. Times are monotonic milliseconds of this VM.
 *
 * @property sightings time of each crash and request that ran there, by the id of the crash, oldest first.
 * @property soundAt time at which the newest sound response to a request with the trait began, or null.
 */
internal data class TraitEvidence(val trait: Trait, val sightings: Map<String, Seen>, val soundAt: Long?) {
    /** A [CrashSighting] on this VM's clock. */
    data class Seen(val at: Long, val request: String, val requests: Int) {
        /** What this and [other], of the same crash, say together, in any order. */
        fun merge(other: Seen): Seen =
            copy(request = minOf(request, other.request), requests = maxOf(requests, other.requests))
    }

    /** Sightings since the newest sound response. */
    val open: Map<String, Seen> = if (soundAt == null) sightings else sightings.filterValues { it.at > soundAt }

    /** Time of the newest sighting. */
    val newestAt: Long get() = sightings.values.maxOfOrNull { it.at } ?: Long.MIN_VALUE

    /** This evidence with [more] sightings, of which the newest [MAX_SIGHTINGS] are kept, and a sound response. */
    fun with(more: Map<String, Seen>, sound: Long?): TraitEvidence {
        val known = sightings.mapValues { (crash, seen) -> more[crash]?.let(seen::merge) ?: seen }
        val all = (more + known).entries.sortedBy { it.value.at }.takeLast(MAX_SIGHTINGS)
        return TraitEvidence(trait, all.associate { it.key to it.value }, listOfNotNull(soundAt, sound).maxOrNull())
    }

    /** What other VMs are told at [now]. */
    fun toReport(now: Long): TraitReport =
        TraitReport(
            trait,
            sightings.map { (crash, seen) ->
                CrashSighting(crash, seen.request, seen.requests, ageMillis = maxOf(0, now - seen.at))
            },
            soundAt?.let { maxOf(0, now - it) },
        )

    /** This evidence without sightings before [time]. */
    fun since(time: Long): TraitEvidence = copy(sightings = sightings.filterValues { it.at >= time })

    private companion object {
        /** Far more than it takes to name a trait, so that the crashes of one that is named explain those of others. */
        const val MAX_SIGHTINGS = 16
    }
}
