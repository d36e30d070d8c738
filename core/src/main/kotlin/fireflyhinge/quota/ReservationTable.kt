package fireflyhinge.quota

import java.time.Duration

/**
 * Unsettled charges debited from [bucket], and ids of recently settled ones, in bounded memory. A dropped charge counts
 * as spent and forfeits its refund, which can only lower what the workspace may use. Not thread-safe.
 */
internal class ReservationTable(private val bucket: TokenBucket) {
    private val open = LinkedHashMap<String, Reservation>()
    private val settled = LinkedHashSet<String>()
    private val unspent = LinkedHashSet<String>()

    /** The unsettled charge with this [id], or null. */
    operator fun get(id: String): Reservation? = open[id]

    /** Whether the charge with this [id] was settled recently. */
    fun isSettled(id: String): Boolean = id in settled

    /** Tokens of the unspent charge that is ready next, or 0 if there is none. */
    val nextReserved: Double get() = unspent.firstOrNull()?.let { open.getValue(it).tokens } ?: 0.0

    /** Adds a charge, and drops charges beyond the limits of age and number. */
    fun add(id: String, reservation: Reservation) {
        remove(id)
        open[id] = reservation
        unspent.add(id)
        while (true) {
            val (eldest, held) = open.entries.first()
            if (open.size <= MAX_OPEN && reservation.createdAt - held.createdAt <= MAX_AGE_NANOS) return
            spend(eldest)
            remove(eldest)
        }
    }

    /** Marks the charge with this [id] as spent. */
    fun spend(id: String) {
        if (!unspent.remove(id)) return
        bucket.spend(open.getValue(id).tokens)
        open.computeIfPresent(id) { _, held -> held.copy(spent = true) }
    }

    /** Marks charges as spent whose requesters did not return for them; the bucket could not fill up otherwise. */
    fun dropOverdue(now: Long) {
        while (true) {
            val id = unspent.firstOrNull() ?: return
            val held = open.getValue(id)
            if (bucket.supplyBeyond(held.position) < 0 || now - held.dueAt <= OVERDUE_NANOS) return
            spend(id)
        }
    }

    /** Records that the requester of the charge with this [id] will repeat the request by [dueAt]. */
    fun postpone(id: String, dueAt: Long) {
        open.computeIfPresent(id) { _, held -> held.copy(dueAt = dueAt) }
    }

    /** Removes the charge with this [id], which may be charged again. */
    fun remove(id: String): Reservation? {
        unspent.remove(id)
        return open.remove(id)
    }

    /** Removes the charge with this [id] and records the id, so that a late duplicate of the request is not debited. */
    fun settle(id: String): Reservation? {
        settled.add(id)
        if (settled.size > MAX_SETTLED) settled.remove(settled.first())
        spend(id)
        return remove(id)
    }

    private companion object {
        const val MAX_OPEN = 20_000
        const val MAX_SETTLED = 4_096

        /** Requesters repeat a request shortly before a long wait ends, and for at most 6 s while no owner answers. */
        val OVERDUE_NANOS = Duration.ofSeconds(6).toNanos()

        /** Longer than the sum of the longest queue wait and the longest response. */
        val MAX_AGE_NANOS = Duration.ofMinutes(40).toNanos()
    }
}
