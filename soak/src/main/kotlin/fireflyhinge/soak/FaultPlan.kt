package fireflyhinge.soak

import kotlin.random.Random

/** The faults of a run, decided by its seed alone: series that overlap, and between them times in which bounds hold. */
internal class FaultPlan(seed: Long) {
    private val random = Random(seed)

    /** Restores have a series of their own, so that the other faults of a seed stay the same. */
    private val restores = Random(seed.inv())

    /** The faults until [millis], in order. */
    fun faults(millis: Long): List<Fault> {
        val faults = ArrayList<Fault>()
        var at = FIRST_MILLIS
        while (at < millis) {
            val rough = at % ROUND_MILLIS < ROUGH_MILLIS
            val kinds = FaultKind.entries.filter { (rough || it.calm) && it != FaultKind.STORE_RESTORE }
            val mode = LinkMode.entries.filter { it != LinkMode.SOUND }.random(random)
            val lasting = SHORTEST_MILLIS + random.nextLong(LASTING_MILLIS)
            faults += Fault(at, kinds.random(random), random.nextInt(TARGETS), mode, lasting)
            at += GAP_MILLIS + random.nextLong(GAP_MILLIS * 2)
        }
        return (faults + restoresUntil(millis)).sortedBy { it.at }
    }

    /** One early in each round but the first, so that its effects end soon after the rough part of the round. */
    private fun restoresUntil(millis: Long): List<Fault> =
        (ROUND_MILLIS until millis step ROUND_MILLIS).map { round ->
            val lasting = SHORTEST_MILLIS + restores.nextLong(LASTING_MILLIS)
            Fault(round + FIRST_MILLIS, FaultKind.STORE_RESTORE, target = 0, LinkMode.SOUND, lasting)
        }

    private companion object {
        const val FIRST_MILLIS = 1_000L

        /** Calm parts of a round are longer than the bounds of [Ledger], so that withdrawn keys are checked. */
        const val ROUND_MILLIS = 22_000L
        const val ROUGH_MILLIS = 9_000L
        const val GAP_MILLIS = 300L
        const val SHORTEST_MILLIS = 100L
        const val LASTING_MILLIS = 3_000L
        const val TARGETS = 1_000
    }
}
