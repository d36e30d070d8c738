package fireflyhinge.quota

/**
 * Delays increases of a region's share, because the region that gives up the share may not know of the change yet.
 * Decreases take effect at once. Not thread-safe.
 */
class ShareRaiseDelay(private val delayNanos: Long = RAISE_DELAY_NANOS) {
    private val shares = HashMap<String, Share>()

    /** Share of [workspace] in effect at [now] if the configured share is [configured]. */
    fun effectiveShare(workspace: String, configured: Double, now: Long): Double {
        val held = shares[workspace] ?: Share(used = configured, configured = configured, since = now)
        val since = if (held.configured == configured) held.since else now
        val due = configured <= held.used || now - since >= delayNanos
        val next = Share(used = if (due) configured else held.used, configured = configured, since = since)
        shares[workspace] = next
        return next.used
    }

    private data class Share(val used: Double, val configured: Double, val since: Long)
}

/** More than twice the 12 s within which a configuration change reaches every VM. */
private const val RAISE_DELAY_NANOS = 30_000_000_000L
