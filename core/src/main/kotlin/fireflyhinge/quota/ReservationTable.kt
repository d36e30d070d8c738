package fireflyhinge.quota

import java.time.Duration

/**
 * Charges that were not settled yet, and ids of those that were, in bounded memory. A charge that is dropped gives its
 * refund up, which can only lower what the workspace may use. Not thread-safe.
 */
internal class ReservationTable {
    private val open = LinkedHashMap<String, Reservation>()
    private val settled = LinkedHashSet<String>()

    /** The open charge with this [id], or null. */
    operator fun get(id: String): Reservation? = open[id]

    /** Whether the charge with this [id] was settled recently. */
    fun isSettled(id: String): Boolean = id in settled

    /** Adds or replaces a charge and drops those that are too old or too many. */
    operator fun set(id: String, reservation: Reservation) {
        open.remove(id)
        open[id] = reservation
        val eldest = open.entries.iterator()
        while (eldest.hasNext()) {
            val held = eldest.next().value
            if (open.size <= MAX_OPEN && reservation.madeAt - held.madeAt <= MAX_AGE) break
            eldest.remove()
        }
    }

    /** Forgets the charge with this [id], which may be charged again. */
    fun remove(id: String) {
        open.remove(id)
    }

    /** Removes the charge with this [id] and remembers the id, so that a late copy of the charge is not debited. */
    fun settle(id: String): Reservation? {
        settled.add(id)
        if (settled.size > MAX_SETTLED) settled.remove(settled.first())
        return open.remove(id)
    }

    private companion object {
        const val MAX_OPEN = 20_000
        const val MAX_SETTLED = 4_096

        /** Longer than the longest queue wait and the longest answer together. */
        val MAX_AGE = Duration.ofMinutes(40).toNanos()
    }
}
