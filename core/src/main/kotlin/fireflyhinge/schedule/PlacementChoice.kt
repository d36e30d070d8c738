package fireflyhinge.schedule

/** What a policy decides about one request. */
internal sealed interface PlacementChoice {
    /**
     * The request runs on these replicas.
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

    /** Nothing is free for any request of this kind. */
    data object WaitAll : PlacementChoice

    /** This request has to wait for a reason of its own; others may go ahead. */
    data object WaitThis : PlacementChoice
}
