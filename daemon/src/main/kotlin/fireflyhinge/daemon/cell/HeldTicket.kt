package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketUpdate
import fireflyhinge.schedule.ticketId

/**
 * Holder's view of a ticket in [region], or the withdrawal of a request that may have been given one. Times are in
 * milliseconds of the holder's monotonic clock; [acknowledgedAt] is the send time of the last message that the
 * owner answered. Thread-safe.
 */
internal class HeldTicket(
    val region: String,
    val request: PlaceRequest,
    private val placed: PlaceReply.Placed?,
    private var acknowledgedAt: Long,
) {
    val id: String = request.ticketId()

    private val placedAt = acknowledgedAt
    private var expired = false

    /** State that the owner has acknowledged or knows from the placement; null if it may not know the ticket. */
    private var acknowledged: TicketUpdate? = null
    private var update =
        TicketUpdate(
            ticket = id,
            // Only the placement needs the prefixes; leaving them out keeps the renewals small.
            request = request.copy(prefixHashes = emptyList()),
            prefillReplica = placed?.prefillReplica.orEmpty(),
            decodeReplica = placed?.decodeReplica.orEmpty(),
            released = placed == null,
        )

    init {
        acknowledged = update
    }

    /** Decode replica, or null for a withdrawal. */
    val replica: String? get() = placed?.decodeReplica

    /** Whether the owner already knows all of [next] but the token count, so that a short renewal is enough. */
    @Synchronized
    fun isTokenCountOnly(next: TicketUpdate): Boolean =
        !next.released && next.copy(generatedTokens = 0) == acknowledged?.copy(generatedTokens = 0)

    /** Records that the owner does not know the ticket; the next update is sent in full. */
    @Synchronized
    fun onUnknown() {
        acknowledged = null
    }

    /** The update to send to the owner. */
    @Synchronized
    fun currentUpdate(): TicketUpdate = update

    /** Records the progress of the request at [now]. */
    @Synchronized
    fun progress(generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?, now: Long) {
        val prefillEnded = prefillDone && !update.prefillDone
        update =
            update.copy(
                generatedTokens = maxOf(generatedTokens, update.generatedTokens),
                prefillDone = prefillDone || update.prefillDone,
                cachedTokens = cachedTokens ?: update.cachedTokens,
                prefillMillis = if (prefillEnded) now - placedAt else update.prefillMillis,
            )
    }

    /** Marks the ticket as released at [now]. */
    @Synchronized
    fun release(now: Long) {
        update = update.copy(released = true)
        acknowledgedAt = now
    }

    /** Records the reply to the update [sent] at [sentAt]. A reply that comes after the expiry renews nothing. */
    @Synchronized
    fun onAcknowledged(sent: TicketUpdate, sentAt: Long, now: Long) {
        if (!isValid(now)) return
        acknowledged = sent
        acknowledgedAt = maxOf(acknowledgedAt, sentAt)
    }

    /** Records that the owner has expired the ticket. */
    @Synchronized
    fun onExpired() {
        expired = true
    }

    /** Whether the ticket may be used at [now]. */
    @Synchronized
    fun isValid(now: Long): Boolean {
        if (now - acknowledgedAt >= HOLDER_TTL_MILLIS) expired = true
        return !expired && !update.released
    }

    /** Whether the owner has forgotten the ticket by [now], so that a release need not be repeated. */
    @Synchronized
    fun isForgotten(now: Long): Boolean = now - acknowledgedAt >= FORGOTTEN_AFTER_MILLIS

    private companion object {
        /** The owner expires a ticket after 10 s; the difference covers clock drift of 1 %. */
        const val HOLDER_TTL_MILLIS = 9_900
        const val FORGOTTEN_AFTER_MILLIS = 10_100
    }
}
