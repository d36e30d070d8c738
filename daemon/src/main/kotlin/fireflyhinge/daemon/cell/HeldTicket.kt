package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketUpdate
import fireflyhinge.schedule.ticketId

/**
 * A ticket in [region] as its holder sees it, or the withdrawal of a request that may have got one. Times are the
 * holder's monotonic milliseconds; [acknowledgedAt] is the send time of the last message that the owner answered.
 * Thread-safe.
 */
internal class HeldTicket(
    val region: String,
    val request: PlaceRequest,
    private val placed: PlaceReply.Placed?,
    private var acknowledgedAt: Long,
) {
    val id: String = request.ticketId()

    private val placedAt = acknowledgedAt
    private var lost = false

    /** State that the owner has acknowledged or knows from the placement; null if it may not know the ticket. */
    private var known: TicketUpdate? = null
    private var update =
        TicketUpdate(
            ticket = id,
            // The prefixes matter only to the placement; renewals are kept small without them.
            request = request.copy(prefixHashes = emptyList()),
            prefillReplica = placed?.prefillReplica.orEmpty(),
            decodeReplica = placed?.decodeReplica.orEmpty(),
            released = placed == null,
        )

    init {
        known = update
    }

    /** Decode replica, or null for a withdrawal. */
    val replica: String? get() = placed?.decodeReplica

    /** Whether the owner knows everything but the token count of [report]. */
    @Synchronized
    fun isBrief(report: TicketUpdate): Boolean =
        !report.released && report.copy(generatedTokens = 0) == known?.copy(generatedTokens = 0)

    /** Records that the owner does not know the ticket. */
    @Synchronized
    fun unknown() {
        known = null
    }

    /** What to report to the owner. */
    @Synchronized
    fun report(): TicketUpdate = update

    /** Records progress. */
    @Synchronized
    fun progress(generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?, now: Long) {
        val ended = prefillDone && !update.prefillDone
        update =
            update.copy(
                generatedTokens = maxOf(generatedTokens, update.generatedTokens),
                prefillDone = prefillDone || update.prefillDone,
                cachedTokens = cachedTokens ?: update.cachedTokens,
                prefillMillis = if (ended) now - placedAt else update.prefillMillis,
            )
    }

    /** Marks the ticket as given back at [now]. */
    @Synchronized
    fun release(now: Long) {
        update = update.copy(released = true)
        acknowledgedAt = now
    }

    /** Records the owner's answer to [report], sent at [sentAt]. An answer that comes too late renews nothing. */
    @Synchronized
    fun acknowledged(report: TicketUpdate, sentAt: Long, now: Long) {
        if (!isValid(now)) return
        known = report
        acknowledgedAt = maxOf(acknowledgedAt, sentAt)
    }

    /** Records that the owner has expired the ticket. */
    @Synchronized
    fun lapsed() {
        lost = true
    }

    /** Whether the ticket may be used at [now]. */
    @Synchronized
    fun isValid(now: Long): Boolean {
        if (now - acknowledgedAt >= VALID_MILLIS) lost = true
        return !lost && !update.released
    }

    /** Whether the owner has forgotten the ticket by [now], so that a release need not be repeated. */
    @Synchronized
    fun isOver(now: Long): Boolean = now - acknowledgedAt >= FORGOTTEN_MILLIS

    private companion object {
        /** The owner counts 10 s; the difference covers 1 % of clock drift. */
        const val VALID_MILLIS = 9_900
        const val FORGOTTEN_MILLIS = 10_100
    }
}
