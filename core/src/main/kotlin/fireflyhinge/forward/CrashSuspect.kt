package fireflyhinge.forward

/**
 * A trait with enough evidence against it, unless other traits explain that evidence. Those that explain more come
 * first: parts, which several requests speak against, and traits with more crashes.
 *
 * @property effectiveAt monotonic milliseconds from which the evidence counts.
 * @property endsAt monotonic milliseconds at which it ends to count.
 */
internal class CrashSuspect private constructor(
    val trait: Trait,
    private val sightings: Map<String, TraitEvidence.Seen>,
    val effectiveAt: Long,
    val endsAt: Long,
) : Comparable<CrashSuspect> {
    /** Ids of the crashes. */
    val crashes: Set<String> get() = sightings.keys

    override fun compareTo(other: CrashSuspect): Int = ORDER.compare(this, other)

    /** Whether hardly any crash tells this suspect from [other]. */
    fun coincidesWith(other: CrashSuspect): Boolean =
        (crashes - other.crashes).size <= MAX_DIFFERENCE && (other.crashes - crashes).size <= MAX_DIFFERENCE

    /** Whether this suspect and [other] are parts of the same requests wherever both were seen. */
    fun inSameRequestsAs(other: CrashSuspect): Boolean =
        crashes.intersect(other.crashes).all { sightings[it]?.request == other.sightings[it]?.request }

    companion object {
        /** Crashes that make a suspect. */
        const val MIN_CRASHES = 3

        /** Different times of crashes; replicas that fail together have a common reason. */
        private const val MIN_MOMENTS = 2
        private const val MOMENT_MILLIS = 250L

        /** Different requests that make a suspect of a part: one that is repeated blames all its parts alike. */
        private const val MIN_REQUESTS = 2
        private const val MAX_DIFFERENCE = 1

        /** Time for what other VMs know to arrive: some hops, after a response has gone on for half a second. */
        private const val SETTLE_MILLIS = 1_000L

        /** Time after the newest crash for which the evidence counts, so that a wrong verdict does not last. */
        private const val HOLD_MILLIS = 300_000L

        private val ORDER =
            compareBy<CrashSuspect>({ it.trait.kind }, { -it.crashes.size }, { it.trait.toString() })

        /**
         * Probability below which a coincidence is ruled out. A trait that many requests share is in most crashes, and
         * while hardly any request is served, nothing shows that it does no harm.
         */
        private const val MAX_COINCIDENCE = 0.01

        /** Returns the suspect that [evidence] makes beside what is known of [others], or null. */
        fun of(evidence: TraitEvidence, others: CrashContext): CrashSuspect? {
            val seen = evidence.open.values.sortedBy { it.at }
            if (seen.size < MIN_CRASHES) return null
            val requests = evidence.open.map { (crash, each) -> maxOf(each.requests, others.requestsAt(crash)) }
            val sound = others.soundAfter(evidence.trait.scope, seen.first().at)
            if (Coincidence.probability(requests, sound) > MAX_COINCIDENCE) return null
            val enough = (MIN_CRASHES..seen.size).find { suffices(evidence.trait, seen.take(it)) } ?: return null
            return CrashSuspect(
                trait = evidence.trait,
                sightings = evidence.open,
                effectiveAt = seen[enough - 1].at + SETTLE_MILLIS,
                endsAt = seen.last().at + HOLD_MILLIS,
            )
        }

        private fun suffices(trait: Trait, seen: List<TraitEvidence.Seen>): Boolean {
            val moments =
                seen.fold(emptyList<Long>()) { all, next ->
                    if (all.isEmpty() || next.at - all.last() >= MOMENT_MILLIS) all + next.at else all
                }
            val requests = if (trait.kind == Trait.Kind.PART) MIN_REQUESTS else 1
            return moments.size >= MIN_MOMENTS && seen.distinctBy { it.request }.size >= requests
        }
    }
}
