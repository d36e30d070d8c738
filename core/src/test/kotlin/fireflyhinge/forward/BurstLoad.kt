package fireflyhinge.forward

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * Requests of a [BurstSimulation].
 *
 * @param usual requests per second outside the burst, over all workspaces.
 * @param factor factor on the load of each workspace during the burst.
 */
internal class BurstLoad(
    private val usual: Double,
    private val burstMillis: Long = 3_000,
    private val factor: (Int) -> Double,
) {
    /** All requests have ended by then. */
    val endMillis = BURST_FROM + burstMillis + AFTER_MILLIS + DRAIN_MILLIS

    fun inBurst(millis: Long) = millis in BURST_FROM until BURST_FROM + burstMillis

    fun requests(random: Random): List<BurstSimulation.Request> = WEIGHTS.indices.flatMap { arrivals(it, random) }

    private fun arrivals(workspace: Int, random: Random): List<BurstSimulation.Request> {
        val requests = ArrayList<BurstSimulation.Request>()
        val perMilli = usual / 1_000 * WEIGHTS[workspace] / WEIGHTS.sum()
        var millis = 0.0
        while (true) {
            // Arrivals are drawn at the highest rate and thinned outside the burst.
            val highest = maxOf(1.0, factor(workspace))
            millis -= ln(1 - random.nextDouble()) / (perMilli * highest)
            if (millis > BURST_FROM + burstMillis + AFTER_MILLIS) return requests
            val now = millis.toLong()
            val present = if (inBurst(now)) factor(workspace) else 1.0
            val request = request(workspace, now, random)
            if (random.nextDouble() < present / highest) requests += request
        }
    }

    private fun request(workspace: Int, now: Long, random: Random) =
        BurstSimulation.Request(
            vm = random.nextInt(BurstSimulation.VMS),
            workspace = workspace,
            tokens = (PROMPT_TOKENS * spread(random) + OUTPUT_TOKENS * spread(random)).toInt(),
            holdMillis = (HOLD_MILLIS * random.nextDouble(0.7, 1.3)).toLong(),
            firstSent = now,
        )

    private fun spread(random: Random) = random.nextDouble(0.5, 1.5)

    companion object {
        const val PROMPT_TOKENS = 5_200
        const val OUTPUT_TOKENS = 70
        const val HOLD_MILLIS = 3_300
        const val BURST_FROM = 8_000L
        const val AFTER_MILLIS = 6_000L
        const val DRAIN_MILLIS = 12_000L

        /** Loads and limits of the workspaces: a few large ones. */
        val WEIGHTS = List(16) { maxOf(1.0, 10 * exp(-it / 2.0)) }
    }
}
