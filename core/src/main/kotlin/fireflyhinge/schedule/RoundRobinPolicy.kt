package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Baseline: places at once on the available replicas in turn, without reservations. */
internal class RoundRobinPolicy : PlacementPolicy {
    private var turn = 0

    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val prefills = replicas.prefillFor(request)
        val decodes = replicas.decodeFor(request)
        if (prefills.isEmpty() || decodes.isEmpty()) return PlacementChoice.WaitThis
        val prefill = prefills[turn % prefills.size]
        val decode = decodes[turn % decodes.size]
        turn = (turn + 1) and Int.MAX_VALUE
        return unreserved(prefill, decode, request, now)
    }
}

/** A placement that reserves neither slot nor link. */
internal fun unreserved(prefill: PrefillReplica, decode: DecodeReplica, request: PlaceRequest, now: Long) =
    PlacementChoice.Place(
        prefill = prefill,
        decode = decode,
        cachedTokens = 0,
        prefillEnd = prefill.startAt(now) + prefill.millisFor(request.promptTokens),
        transferStart = now,
        transferMillis = 0,
    )
