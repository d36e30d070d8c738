package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/** A prefill replica: its queue and believed prefixes. */
internal class PrefillReplica(upstream: Upstream, settings: SchedulerSettings) : Replica(upstream) {
    val prefixes = PrefixCacheEstimate(settings.prefixBlocks)

    private val speed = PrefillSpeed(settings.initialPrefillTokensPerMilli)
    private var busyUntil = Long.MIN_VALUE
    private var assignedSinceReport = 0.0

    /** Time at which the engine can start on another prompt. */
    fun startAt(now: Long): Long = maxOf(now, busyUntil)

    /** Time to read [tokens] that are not cached. */
    fun millisFor(tokens: Int): Long = speed.millisFor(tokens)

    /** Adds a prefill that ends at [end]. */
    fun assign(ticket: Ticket, end: Long) {
        busyUntil = end
        assignedSinceReport += ticket.prefillTokens
        prefixes.add(ticket.request.workspace, ticket.request.prefixHashes)
        suspects.add(ticket)
    }

    /** Learns from the report of a finished prefill. */
    fun finished(ticket: Ticket, cachedTokens: Int?, prefillMillis: Long?) {
        suspects.remove(ticket)
        if (cachedTokens != null && cachedTokens + PrefixCacheEstimate.BLOCK_TOKENS <= ticket.believedCached) {
            prefixes.overestimated()
        }
        if (cachedTokens != null && prefillMillis != null) {
            speed.add(read = ticket.request.promptTokens - cachedTokens, took = prefillMillis)
        }
    }

    /** Forgets a ticket that ended. */
    fun release(ticket: Ticket) {
        suspects.remove(ticket)
    }

    override fun onRestart() {
        prefixes.clear()
        busyUntil = Long.MIN_VALUE
    }

    override fun onReport(newLoad: EngineLoad, now: Long) {
        // The report lags, so work assigned since the last one is kept in the estimate until the next.
        val lagging = now + millisFor((newLoad.queuedPrefillTokens + assignedSinceReport).toInt())
        busyUntil = minOf(busyUntil, lagging).coerceAtLeast(now + millisFor(newLoad.queuedPrefillTokens.toInt()))
        assignedSinceReport = 0.0
    }
}
