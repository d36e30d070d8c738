package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/** A prefill replica: estimates of its queue, its speed and the prefixes in its cache. */
internal class PrefillReplica(upstream: Upstream, settings: SchedulerSettings) : Replica(upstream) {
    val prefixes = PrefixCacheEstimate(settings.prefixBlocks)

    private val speed = PrefillSpeed(settings.initialPrefillTokensPerMilli)
    private var busyUntil = Long.MIN_VALUE
    private var assignedSinceReport = 0.0

    /** Estimated time at which the engine can start another prefill. */
    fun availableAt(now: Long): Long = maxOf(now, busyUntil)

    /** Estimated time to prefill [tokens] that are not cached. */
    fun millisFor(tokens: Int): Long = speed.millisFor(tokens)

    /** Adds the prefill of [ticket], expected to end at [end]. */
    fun assign(ticket: Ticket, end: Long) {
        busyUntil = end
        assignedSinceReport += ticket.prefillTokens
        prefixes.add(ticket.request.workspace, ticket.request.prefixHashes)
        suspects.add(ticket)
    }

    /** Updates the estimates from the report of a finished prefill; null means not reported. */
    fun recordPrefill(ticket: Ticket, cachedTokens: Int?, prefillMillis: Long?) {
        suspects.remove(ticket)
        if (cachedTokens != null && cachedTokens + PrefixCacheEstimate.BLOCK_TOKENS <= ticket.estimatedCachedTokens) {
            prefixes.recordOverestimate()
        }
        if (cachedTokens != null && prefillMillis != null) {
            speed.add(tokens = ticket.request.promptTokens - cachedTokens, millis = prefillMillis)
        }
    }

    /** Removes a ticket that has ended. */
    fun release(ticket: Ticket) {
        suspects.remove(ticket)
    }

    override fun onRestart() {
        prefixes.clear()
        busyUntil = Long.MIN_VALUE
    }

    override fun onReport(newLoad: EngineLoad, now: Long) {
        // The report lags, so work assigned since the previous report stays in the estimate until the next one.
        val latest = now + millisFor((newLoad.queuedPrefillTokens + assignedSinceReport).toInt())
        busyUntil = minOf(busyUntil, latest).coerceAtLeast(now + millisFor(newLoad.queuedPrefillTokens.toInt()))
        assignedSinceReport = 0.0
    }
}
