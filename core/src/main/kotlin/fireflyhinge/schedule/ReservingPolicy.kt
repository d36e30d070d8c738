package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest
import fireflyhinge.quota.CrashLevel

/**
 * Places a request if a decode slot and the transfer links are free when its prefill ends. It selects the prefill
 * replica with the earliest expected end, given its queue and its estimated prefix cache, and the decode replica with
 * the earliest transfer. Another failure domain counts as a delay, and so does the load of the decode replica.
 */
internal class ReservingPolicy(private val settings: SchedulerSettings) : PlacementPolicy {
    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val plans = replicas.prefillFor(request).mapNotNull { planPrefill(it, request, now) }
        val prefill = plans.minByOrNull { it.scoreMillis }
        val transfer = prefill?.let { plan -> bestTransfer(plan, request, replicas, now) }
        return when {
            prefill != null && transfer != null -> place(prefill, transfer)
            // Such a request may be excluded from replicas that are free for the requests behind it.
            request.crashLevel != CrashLevel.NONE || request.avoid.isNotEmpty() -> PlacementChoice.DeferRequest
            else -> PlacementChoice.DeferAll
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

    private fun planPrefill(replica: PrefillReplica, request: PlaceRequest, now: Long): PrefillPlan? {
        val start = replica.availableAt(now)
        if (start - now > settings.prefillBacklogMillis) return null
        val cached = minOf(replica.prefixes.cachedTokens(request.workspace, request.prefixHashes), request.promptTokens)
        val end = start + replica.millisFor(request.promptTokens - cached)
        val penalty = domainPenalty(replica.upstream.failureDomain, request.failureDomain)
        // Lower bound of the end, by which the decode slot must be free: the engine may have cached blocks that the
        // estimate does not contain, and its queue may be empty when the request arrives.
        val cacheableTokens = request.prefixHashes.size * PrefixCacheEstimate.BLOCK_TOKENS
        val minUncachedTokens = maxOf(0, request.promptTokens - cacheableTokens)
        val earliestEnd = now + (replica.millisFor(minUncachedTokens) * MIN_PREFILL_TIME_FACTOR).toLong()
        return PrefillPlan(
            replica = replica,
            cachedTokens = cached,
            end = end,
            earliestEnd = earliestEnd,
            scoreMillis = end + penalty,
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
            .minByOrNull { it.scoreMillis }

    private fun transfer(prefill: PrefillPlan, decode: DecodeReplica, request: PlaceRequest): TransferPlan {
        val rate = minOf(prefill.replica.upstream.linkMegabytesPerSecond, decode.upstream.linkMegabytesPerSecond)
        val millis = transferMillis(request.promptTokens, rate, settings)
        val start = commonStart(prefill.replica.link, decode.link, prefill.end, millis)
        val penalty = domainPenalty(prefill.replica.upstream.failureDomain, decode.upstream.failureDomain)
        val load = decode.occupied.toDouble() / maxOf(1, decode.slots) * FULL_BATCH_PENALTY_MILLIS
        return TransferPlan(replica = decode, start = start, millis = millis, scoreMillis = start + penalty + load)
    }

    private fun commonStart(first: LinkReservations, second: LinkReservations, from: Long, millis: Long): Long {
        var start = from
        repeat(MAX_GAP_SEARCHES) {
            val next = second.earliest(first.earliest(start, millis), millis)
            if (next == start) return start
            start = next
        }
        return NO_COMMON_GAP
    }

    private fun domainPenalty(a: String, b: String): Double = if (a == b) 0.0 else CROSS_DOMAIN_PENALTY_MILLIS

    private class PrefillPlan(
        val replica: PrefillReplica,
        val cachedTokens: Int,
        val end: Long,
        val earliestEnd: Long,
        val scoreMillis: Double,
    )

    private class TransferPlan(val replica: DecodeReplica, val start: Long, val millis: Long, val scoreMillis: Double)

    companion object {
        /** Crossing failure domains costs a few round trips of 2 to 3 ms. */
        private const val CROSS_DOMAIN_PENALTY_MILLIS = 5.0

        /** A full batch slows down every decode step, so a less occupied replica is worth a slightly later start. */
        private const val FULL_BATCH_PENALTY_MILLIS = 50.0

        /** Allows for a prefill that is faster than predicted. */
        private const val MIN_PREFILL_TIME_FACTOR = 0.85

        private const val MAX_GAP_SEARCHES = 64

        /** Start that exceeds every permitted wait for the links. */
        private const val NO_COMMON_GAP = Long.MAX_VALUE / 2

        /** Bytes per millisecond over a link of 1 MB/s. */
        private const val BYTES_PER_MILLI = 1_000.0

        /** Time to transfer the KV cache of [promptTokens] over a link of [megabytesPerSecond]. */
        fun transferMillis(promptTokens: Int, megabytesPerSecond: Double, settings: SchedulerSettings): Long =
            Math.ceil(promptTokens * settings.kvBytesPerToken / (megabytesPerSecond * BYTES_PER_MILLI)).toLong()
    }
}
