package fireflyhinge.quota

/**
 * Delays raises of a region's share, while the region that gives it up may not have heard of the change. Lower shares
 * count at once. Not thread-safe.
 */
class ShareRaiseDelay(private val delayNanos: Long = RAISE_DELAY_NANOS) {
    private val shares = HashMap<String, Share>()

    /** Share of [workspace] to use at [now] when the configuration says [wanted]. */
    fun effectiveShare(workspace: String, wanted: Double, now: Long): Double {
        val held = shares[workspace] ?: Share(used = wanted, wanted = wanted, since = now)
        val since = if (held.wanted == wanted) held.since else now
        val ripe = wanted <= held.used || now - since >= delayNanos
        val next = Share(used = if (ripe) wanted else held.used, wanted = wanted, since = since)
        shares[workspace] = next
        return next.used
    }

    private data class Share(val used: Double, val wanted: Double, val since: Long)
}

/** More than twice the 12 s within which a change reaches every VM. */
private const val RAISE_DELAY_NANOS = 30_000_000_000L
