package fireflyhinge.schedule

/** Decision of a placement policy about one request. */
internal sealed interface PlacementChoice {
    /**
     * Place the request on these replicas.
     *
     * @property prefillEnd expected end of the prefill.
     * @property transferStart start of the link reservation, which lasts [transferMillis].
     */
    data class Place(
        val prefill: PrefillReplica,
        val decode: DecodeReplica,
        val cachedTokens: Int,
        val prefillEnd: Long,
        val transferStart: Long,
        val transferMillis: Long,
    ) : PlacementChoice

    /** Place nothing now: no capacity is free for any waiting request. */
    data object DeferAll : PlacementChoice

    /** Keep this request queued for a reason of its own; requests behind it may be placed. */
    data object DeferRequest : PlacementChoice
}
