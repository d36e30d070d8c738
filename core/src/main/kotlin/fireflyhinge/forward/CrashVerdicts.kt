package fireflyhinge.forward

/**
 * Combinations of traits that crash replicas. A request is refused if it has all traits of one combination.
 *
 * @property nextChangeMillis time until the verdicts change without new evidence, or null.
 */
class CrashVerdicts internal constructor(val combinations: Set<Set<Trait>>, val nextChangeMillis: Long?) {
    /** Returns a combination that [traits] contain, or null. */
    fun match(traits: RequestTraits): Set<Trait>? = combinations.find { traits.containsAll(it) }

    /** Names traits by their evidence. */
    internal companion object {
        val NONE = CrashVerdicts(emptySet(), null)

        /** Names traits at [now] by the [evidence] on each, beside what is known of [others]. */
        fun of(evidence: Collection<TraitEvidence>, others: CrashContext, now: Long): CrashVerdicts {
            val suspects = evidence.mapNotNull { CrashSuspect.of(it, others) }
            val due = suspects.flatMap { listOf(it.effectiveAt, it.endsAt) }.filter { it > now }
            val active = suspects.filter { it.effectiveAt <= now && now < it.endsAt }
            return CrashVerdicts(combinations(active), due.minOrNull()?.let { it - now })
        }

        /** Suspects that each crash had in the same request, or that the same crashes speak against. */
        private class Group(val first: CrashSuspect) {
            val together = arrayListOf(first)
            var contested = false
        }

        private fun combinations(suspects: List<CrashSuspect>): Set<Set<Trait>> {
            val groups = ArrayList<Group>()
            suspects.sorted().forEach { add(it, groups) }
            return groups.filterNot { it.contested }.mapTo(HashSet()) { group ->
                group.together.mapTo(HashSet()) { it.trait }
            }
        }

        /** Adds [suspect] to [groups] unless suspects with more crashes explain the crashes that speak against it. */
        private fun add(suspect: CrashSuspect, groups: MutableList<Group>) {
            val explained = groups.flatMapTo(HashSet()) { it.first.crashes }
            if ((suspect.crashes - explained).size >= CrashSuspect.MIN_CRASHES) {
                groups += Group(suspect)
                return
            }
            val alike = groups.find { it.first.coincidesWith(suspect) } ?: return
            when {
                alike.first.trait.kind != suspect.trait.kind -> Unit
                alike.first.inSameRequestsAs(suspect) -> alike.together += suspect
                alike.first.crashes.size > suspect.crashes.size -> Unit
                // The next crash will probably tell them apart; more crashes than this are worse than a wrong verdict.
                suspect.crashes.size < MAX_UNDECIDED_CRASHES -> alike.contested = true
                else -> groups += Group(suspect)
            }
        }

        private const val MAX_UNDECIDED_CRASHES = 5
    }
}
