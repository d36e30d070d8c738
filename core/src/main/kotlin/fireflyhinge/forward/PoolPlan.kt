package fireflyhinge.forward

import kotlin.math.ceil
import kotlin.math.floor

/**
 * Decides how many replicas of a service read prompts and how many write answers.
 *
 * Load: bursts in which decode replicas are full and refuse requests while prefill replicas are mostly idle, or the
 * reverse. The pools are sized so that both are full at the same load. Each region is sized by itself, since prompts
 * are read in the region of their decode replica.
 */
class PoolPlan(private val domains: FailureDomains) {
    /** Orders that bring [replicas] of one service, each with memory for [capacity] tokens, to the sizes wanted. */
    fun orders(replicas: Collection<Replica>, needs: RequestAverages, capacity: Int): List<StageOrder> {
        val prefillMillis = needs.promptTokens / PREFILL_TOKENS_PER_MILLI / PREFILL_USE
        val decodeMillis = needs.decodeMillis * needs.memoryTokens / maxOf(1, capacity) / DECODE_USE
        if (prefillMillis + decodeMillis <= 0) return emptyList()
        val share = prefillMillis / (prefillMillis + decodeMillis)
        val serving = replicas.filter { !it.leaving && it.stage != ReplicaStage.PLAIN }
        return serving.groupBy { domains.regionOf(it.failureDomain) }.values.flatMap { region(it, share) }
    }

    private fun region(replicas: List<Replica>, share: Double): List<StageOrder> {
        if (replicas.size < LEAST_REPLICAS) return emptyList()
        val (prefill, decode) = replicas.partition { it.stage == ReplicaStage.PREFILL }
        val wanted = share * replicas.size
        val most = maxOf(1, ceil(wanted).toInt())
        // Between the two sizes nothing changes, so that averages that vary do not move replicas to and fro.
        val least = maxOf(1, floor(wanted).toInt())
        return when {
            prefill.size > most -> spread(prefill).take(prefill.size - most).map { StageOrder(it, ReplicaStage.DECODE) }
            prefill.size < least && decode.size > least - prefill.size ->
                spread(decode).take(least - prefill.size).map { StageOrder(it, ReplicaStage.PREFILL) }
            else -> emptyList()
        }
    }

    /** [replicas] in such an order that those taken first come from the failure domains that have most of them. */
    private fun spread(replicas: List<Replica>): List<Replica> =
        replicas
            .groupBy { it.failureDomain }
            .toSortedMap()
            .values
            .flatMap { group -> group.sortedBy { it.id }.withIndex().map { (index, it) -> group.size - index to it } }
            .sortedByDescending { (left, _) -> left }
            .map { (_, replica) -> replica }

    private companion object {
        /** Speed at which an engine reads prompts. */
        const val PREFILL_TOKENS_PER_MILLI = 50.0

        /** Use of a prefill replica at which prompts wait for twice their own time (M/D/1). */
        const val PREFILL_USE = 0.8

        /** Part of a decode replica's memory that is planned; see [ReplicaChooser]. */
        const val DECODE_USE = 0.9

        /** Regions with fewer replicas stay as they are: one order would change a third of them or more. */
        const val LEAST_REPLICAS = 4
    }
}
