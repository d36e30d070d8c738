package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest
import fireflyhinge.quota.CrashLevel

/**
 * Places a request when a decode slot and the transfer links are free as its prefill ends. The prefill replica is the
 * one that ends first, given its queue and believed prefixes.
 */
internal class ReservingPolicy(private val settings: SchedulerSettings) : PlacementPolicy {
    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val prefill = replicas.prefillFor(request).mapNotNull { plan(it, request, now) }.minByOrNull { it.score }
        val transfer = prefill?.let { plan -> bestTransfer(plan, request, replicas, now) }
        return when {
            prefill != null && transfer != null -> place(prefill, transfer)
            request.level != CrashLevel.NONE || request.avoid.isNotEmpty() -> PlacementChoice.WaitThis
            else -> PlacementChoice.WaitAll
        }
    }

    private fun place(prefill: PrefillPlan, transfer: TransferPlan) =
        PlacementChoice.Place(
            prefill = prefill.replica,
            decode = transfer.replica,
            cachedTokens = prefill.cachedTokens,
            prefillEnd = prefill.end,
            transferStart = transfer.start,
            transferMillis = transfer.millis,
        )

    private fun plan(replica: PrefillReplica, request: PlaceRequest, now: Long): PrefillPlan? {
        val start = replica.startAt(now)
        if (start - now > settings.prefillBacklogMillis) return null
        val cached = minOf(replica.prefixes.cachedTokens(request.workspace, request.prefixHashes), request.promptTokens)
        val end = start + replica.millisFor(request.promptTokens - cached)
        val distance = distance(replica.upstream.failureDomain, request.failureDomain)
        // The engine may hold any block, also one that this owner has not seen, and its queue may vanish.
        val surelyRead = maxOf(0, request.promptTokens - request.prefixHashes.size * PrefixCacheEstimate.BLOCK_TOKENS)
        val earliestEnd = now + (replica.millisFor(surelyRead) * SURE_PART).toLong()
        return PrefillPlan(
            replica = replica,
            cachedTokens = cached,
            end = end,
            earliestEnd = earliestEnd,
            score = end + distance,
        )
    }

    private fun bestTransfer(
        prefill: PrefillPlan,
        request: PlaceRequest,
        replicas: CellReplicas,
        now: Long,
    ): TransferPlan? =
        replicas.decodeFor(request)
            .filter { it.listed }
            .filter { decode -> decode.freeAt(now)?.let { it <= prefill.earliestEnd } == true }
            .map { transfer(prefill, it, request) }
            .filter { it.start - prefill.end <= settings.linkWaitMillis }
            .minByOrNull { it.score }

    private fun transfer(prefill: PrefillPlan, decode: DecodeReplica, request: PlaceRequest): TransferPlan {
        val rate = minOf(prefill.replica.upstream.linkMegabytesPerSecond, decode.upstream.linkMegabytesPerSecond)
        val millis = transferMillis(request.promptTokens, rate, settings)
        val start = commonStart(prefill.replica.link, decode.link, prefill.end, millis)
        val distance = distance(prefill.replica.upstream.failureDomain, decode.upstream.failureDomain)
        val load = decode.occupied.toDouble() / maxOf(1, decode.slots) * FULL_PENALTY_MILLIS
        return TransferPlan(replica = decode, start = start, millis = millis, score = start + distance + load)
    }

    private fun commonStart(first: LinkReservations, second: LinkReservations, from: Long, millis: Long): Long {
        var start = from
        repeat(MAX_GAPS) {
            val next = second.earliest(first.earliest(start, millis), millis)
            if (next == start) return start
            start = next
        }
        return Long.MAX_VALUE / 2
    }

    private fun distance(a: String, b: String): Double = if (a == b) 0.0 else DOMAIN_MILLIS

    private class PrefillPlan(
        val replica: PrefillReplica,
        val cachedTokens: Int,
        val end: Long,
        val earliestEnd: Long,
        val score: Double,
    )

    private class TransferPlan(val replica: DecodeReplica, val start: Long, val millis: Long, val score: Double)

    companion object {
        /** Cost of crossing failure domains: a few round trips of 2 to 3 ms. */
        private const val DOMAIN_MILLIS = 5.0

        /** A full batch slows every step, so an emptier replica is worth a slightly later start. */
        private const val FULL_PENALTY_MILLIS = 50.0

        /** The prefill may be faster than predicted. */
        private const val SURE_PART = 0.85

        private const val MAX_GAPS = 64
        private const val BYTES_PER_MILLI = 1_000.0

        /** Time to move the KV cache of [promptTokens] over a link of [megabytesPerSecond]. */
        fun transferMillis(promptTokens: Int, megabytesPerSecond: Double, settings: SchedulerSettings): Long =
            Math.ceil(promptTokens * settings.kvBytesPerToken / (megabytesPerSecond * BYTES_PER_MILLI)).toLong()
    }
}
