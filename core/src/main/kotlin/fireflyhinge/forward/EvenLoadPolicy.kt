package fireflyhinge.forward

import kotlin.math.exp
import kotlin.random.Random

/**
 * Draws two replicas at random and selects the less loaded one. The probability of a replica is proportional to its
 * capacity and decreases exponentially with its expected load and its distance, so that VMs with the same outdated view
 * spread their requests instead of all selecting the replica that was the least loaded one. See
 * docs/design/even-load.md.
 */
class EvenLoadPolicy(private val random: Random = Random.Default) : SelectionPolicy {
    override val sharesPrefillCosts: Boolean get() = true

    override fun load(state: ReplicaState, capacity: Int): Double {
        val estimate = state.expectation
        return state.cost(capacity, ExpectedLoad(estimate.fill * estimate.confidence, estimate.pace))
    }

    override fun select(candidates: List<SelectionPolicy.Candidate>, capacity: Int): ReplicaState? {
        if (candidates.size < 2) return candidates.firstOrNull()?.state
        val estimates = candidates.map { it.state.expectation }
        val costs = costs(candidates, estimates, capacity)
        val service = meanServiceMillis(estimates)
        val least = costs.min()
        val cumulative = DoubleArray(costs.size)
        var total = 0.0
        for (i in costs.indices) {
            val penalty = candidates[i].penalty
            val scale = if (isPlain(candidates[i])) PLAIN_PENALTY_SCALE else PENALTY_SCALE
            val cost = (costs[i] - penalty - least) / LOAD_SCALE + penalty / scale
            total += capacityOf(candidates[i], estimates[i], service) * exp(-cost)
            cumulative[i] = total
        }
        // What the request itself adds to the load: much at a replica with few slots.
        fun increment(index: Int) =
            (if (isPrefill(candidates[index])) PREFILL_INCREMENT else 1.0) / estimates[index].slots

        val first = draw(cumulative)
        val second = draw(cumulative)
        val secondIsBetter = costs[second] + increment(second) < costs[first] + increment(first)
        return candidates[if (secondIsBetter) second else first].state
    }

    /** Loads with penalties. A replica whose report is missing or old is expected to be as loaded as the others. */
    private fun costs(
        candidates: List<SelectionPolicy.Candidate>,
        estimates: List<ReplicaLoadEstimate.Snapshot>,
        capacity: Int,
    ): DoubleArray {
        val known = estimates.sumOf { it.confidence }
        val mean = if (known > 0) estimates.sumOf { it.fill * it.confidence } / known else 0.0
        return DoubleArray(candidates.size) {
            val estimate = estimates[it]
            val own = if (estimate.confidence == 0.0) estimate.fill else 0.0
            val fill = estimate.fill * estimate.confidence + mean * (1 - estimate.confidence) + own
            val scale = if (isPrefill(candidates[it])) PREFILL_WEIGHT else 1.0
            candidates[it].state.cost(capacity, ExpectedLoad(fill, estimate.pace)) * scale + candidates[it].penalty
        }
    }

    private fun isPlain(candidate: SelectionPolicy.Candidate) = candidate.state.replica.stage == ReplicaStage.PLAIN

    private fun isPrefill(candidate: SelectionPolicy.Candidate) =
        candidate.state.replica.stage == ReplicaStage.PREFILL

    private fun meanServiceMillis(estimates: List<ReplicaLoadEstimate.Snapshot>): Double {
        val samples = estimates.sumOf { it.samples }
        return if (samples > 0) estimates.sumOf { it.serviceMillis * it.samples } / samples else 1.0
    }

    /** Slots by relative speed. Few own measurements count little against the mean [service]. */
    private fun capacityOf(
        candidate: SelectionPolicy.Candidate,
        estimate: ReplicaLoadEstimate.Snapshot,
        service: Double,
    ): Double {
        candidate.state.tokensPerMilli?.let { return estimate.slots * it / USUAL_TOKENS_PER_MILLI / estimate.pace }
        val own = (service * PRIOR_SAMPLES + estimate.serviceMillis * estimate.samples) /
            (PRIOR_SAMPLES + estimate.samples)
        val speed = if (own > 0) (service / own).coerceIn(1 / MAX_SPEED, MAX_SPEED) else 1.0
        return estimate.slots * speed / estimate.pace
    }

    private fun draw(cumulative: DoubleArray): Int {
        val drawn = random.nextDouble() * cumulative.last()
        return cumulative.indexOfFirst { drawn < it }.coerceAtLeast(0)
    }

    private companion object {
        /** A replica with this much more load is drawn with a third of the probability. */
        const val LOAD_SCALE = 0.2

        /** The same for distance, which unlike load is known exactly. */
        const val PENALTY_SCALE = 0.1

        /** A plain request takes less time than the path to another region and back. */
        const val PLAIN_PENALTY_SCALE = 0.05

        /** The load of prefill replicas counts in latency objectives, of which a mean prompt takes about a tenth. */
        const val PREFILL_WEIGHT = 3.0
        const val PREFILL_INCREMENT = 0.33

        /** Own measurements needed to outweigh the mean of all replicas. */
        const val PRIOR_SAMPLES = 3.0

        /** Rate of a prefill replica with the same capacity as one without measurements. */
        const val USUAL_TOKENS_PER_MILLI = 50.0

        /** Bounds the effect of false measurements. */
        const val MAX_SPEED = 4.0
    }
}
