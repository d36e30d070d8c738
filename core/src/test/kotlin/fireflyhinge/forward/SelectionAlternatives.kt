package fireflyhinge.forward

import kotlin.math.exp
import kotlin.random.Random

private typealias Candidates = List<SelectionPolicy.Candidate>

/** Policies that docs/design/even-load.md compares with [EvenLoadPolicy]. */
internal object SelectionAlternatives {
    private abstract class Alternative(protected val random: Random) : SelectionPolicy {
        override fun load(state: ReplicaState, capacity: Int): Double {
            val estimate = state.expectation
            return state.cost(capacity, ExpectedLoad(estimate.fill, estimate.pace))
        }

        protected fun cost(candidate: SelectionPolicy.Candidate, capacity: Int) =
            load(candidate.state, capacity) + candidate.penalty

        protected fun draw(candidates: Candidates, weight: (SelectionPolicy.Candidate) -> Double): ReplicaState? {
            val weights = candidates.map(weight)
            var left = random.nextDouble() * weights.sum()
            return candidates.zip(weights).firstOrNull { (_, w) ->
                left -= w
                left < 0
            }?.first?.state ?: candidates.lastOrNull()?.state
        }
    }

    /** Least known load, with the own requests sent since the last report. */
    fun leastWithOwn(random: Random): SelectionPolicy =
        object : Alternative(random) {
            override fun select(candidates: Candidates, capacity: Int) =
                candidates.minByOrNull { cost(it, capacity) + random.nextDouble() * 0.1 }?.state
        }

    /** The less loaded one of two random replicas. */
    fun twoChoices(random: Random): SelectionPolicy =
        object : Alternative(random) {
            override fun select(candidates: Candidates, capacity: Int) =
                candidates.shuffled(random).take(2).minByOrNull { cost(it, capacity) }?.state
        }

    /** Random choice in proportion to the expected free capacity; distances reduce it exponentially. */
    fun freeCapacity(random: Random): SelectionPolicy =
        object : Alternative(random) {
            override fun select(candidates: Candidates, capacity: Int) =
                draw(candidates) {
                    val estimate = it.state.expectation
                    val free = maxOf(0.02, 1 - load(it.state, capacity))
                    estimate.slots / estimate.pace * free * exp(-it.penalty / 0.1)
                }
        }

    /** Least known load in a stable subset of half the replicas, at least 3, which differs by VM. */
    fun subsets(random: Random): SelectionPolicy =
        object : Alternative(random) {
            private val salt = random.nextInt()

            override fun select(candidates: Candidates, capacity: Int) =
                candidates.sortedBy { Random(salt + it.state.replica.id.hashCode()).nextInt() }
                    .take(maxOf(3, candidates.size / 2))
                    .minByOrNull { cost(it, capacity) + random.nextDouble() * 0.1 }?.state
        }

    /** An owner of the service that all requests pass through, here without the time to reach it: a bound. */
    class Owner {
        private val open = HashMap<String, Int>()

        fun ended(id: String) = open.merge(id, -1, Int::plus)

        fun policy(random: Random): SelectionPolicy =
            object : Alternative(random) {
                override fun select(candidates: Candidates, capacity: Int): ReplicaState? {
                    val state =
                        candidates.minByOrNull {
                            val sent = (open[it.state.replica.id] ?: 0).toDouble()
                            sent / it.state.replica.slots + it.penalty + random.nextDouble() * 0.1
                        }?.state
                    state?.let { open.merge(it.replica.id, 1, Int::plus) }
                    return state
                }
            }
    }
}
