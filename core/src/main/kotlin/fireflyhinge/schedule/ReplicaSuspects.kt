package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest
import fireflyhinge.quota.CrashLevel

/**
 * Suspects bound to one replica: requests that took part in replica crashes. They are spread over the replicas, so that
 * few of them are involved in the next crash of this one.
 */
internal class ReplicaSuspects {
    private val levels = HashMap<String, CrashLevel>()

    /** Whether a request of [level] may be bound next to the present suspects. */
    fun admits(level: CrashLevel): Boolean =
        when (level) {
            CrashLevel.NONE -> true
            CrashLevel.LIGHT -> levels.size < MAX_LIGHT_SUSPECTS && levels.values.none { it != CrashLevel.LIGHT }
            CrashLevel.STRONG, CrashLevel.BARRED -> levels.isEmpty()
        }

    /** Adds the request of [ticket] if it is a suspect. */
    fun add(ticket: Ticket) {
        val level = ticket.request.crashLevel
        if (level != CrashLevel.NONE) levels[ticket.id] = level
    }

    /** Removes a request that no longer runs on the replica. */
    fun remove(ticket: Ticket) {
        levels -= ticket.id
    }

    private companion object {
        /**
         * A crash makes about 20 requests suspects. With one suspect per replica, they waited for each other for the
         * duration of several responses.
         */
        const val MAX_LIGHT_SUSPECTS = 4
    }
}

/** Restriction that applies to the request because of earlier crashes. */
internal val PlaceRequest.crashLevel: CrashLevel get() = CrashLevel.of(crashes)
