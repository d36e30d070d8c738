package fireflyhinge.quota

import java.time.Duration

/**
 * Charges debited from [bucket] that were not settled yet, and ids of those that were, in bounded memory. A charge that
 * is dropped counts as spent and gives its refund up, which can only lower what the workspace may use. Not thread-safe.
 */
internal class ReservationTable(private val bucket: TokenBucket) {
    private val open = LinkedHashMap<String, Reservation>()
    private val settled = LinkedHashSet<String>()
    private val unspent = LinkedHashSet<String>()

    /** The open charge with this [id], or null. */
    operator fun get(id: String): Reservation? = open[id]

    /** Whether the charge with this [id] was settled recently. */
    fun isSettled(id: String): Boolean = id in settled

    /** Tokens of the charge that is ready next, or 0 if no charge waits. */
    val awaited: Double get() = unspent.firstOrNull()?.let { open.getValue(it).tokens } ?: 0.0

    /** Adds a charge, and drops those that are too old or too many. */
    fun add(id: String, reservation: Reservation) {
        remove(id)
        open[id] = reservation
        unspent.add(id)
        while (true) {
            val (eldest, held) = open.entries.first()
            if (open.size <= MAX_OPEN && reservation.madeAt - held.madeAt <= MAX_AGE) return
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

    /** Counts charges as spent whose askers did not come back for them: the bucket could not fill otherwise. */
    fun dropOverdue(now: Long) {
        while (true) {
            val id = unspent.firstOrNull() ?: return
            val held = open.getValue(id)
            if (bucket.past(held.place) < 0 || now - held.dueAt <= OVERDUE_NANOS) return
            spend(id)
        }
    }

    /** Records that the asker of the charge with this [id] will ask again by [dueAt]. */
    fun postpone(id: String, dueAt: Long) {
        open.computeIfPresent(id) { _, held -> held.copy(dueAt = dueAt) }
    }

    /** Forgets the charge with this [id], which may be charged again. */
    fun remove(id: String): Reservation? {
        unspent.remove(id)
        return open.remove(id)
    }

    /** Removes the charge with this [id] and remembers the id, so that a late copy of the charge is not debited. */
    fun settle(id: String): Reservation? {
        settled.add(id)
        if (settled.size > MAX_SETTLED) settled.remove(settled.first())
        spend(id)
        return remove(id)
    }

    private companion object {
        const val MAX_OPEN = 20_000
        const val MAX_SETTLED = 4_096

        /** Askers ask again shortly before a long wait ends, and go on for at most 6 s while no owner answers. */
        val OVERDUE_NANOS = Duration.ofSeconds(6).toNanos()

        /** Longer than the longest queue wait and the longest answer together. */
        val MAX_AGE = Duration.ofMinutes(40).toNanos()
    }
}
