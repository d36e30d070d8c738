package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest

/** Baseline that places each request at once, cycling through the available replicas, without reservations. */
internal class RoundRobinPolicy : PlacementPolicy {
    private var next = 0

    override fun choose(request: PlaceRequest, replicas: CellReplicas, now: Long): PlacementChoice {
        val prefills = replicas.prefillFor(request)
        val decodes = replicas.decodeFor(request)
        if (prefills.isEmpty() || decodes.isEmpty()) return PlacementChoice.DeferRequest
        val prefill = prefills[next % prefills.size]
        val decode = decodes[next % decodes.size]
        next = (next + 1) and Int.MAX_VALUE
        return unreservedPlacement(prefill, decode, request, now)
    }
}

/** A placement that reserves neither a slot nor a link. */
internal fun unreservedPlacement(prefill: PrefillReplica, decode: DecodeReplica, request: PlaceRequest, now: Long) =
    PlacementChoice.Place(
        prefill = prefill,
        decode = decode,
        cachedTokens = 0,
        prefillEnd = prefill.availableAt(now) + prefill.millisFor(request.promptTokens),
        transferStart = now,
        transferMillis = 0,
    )
