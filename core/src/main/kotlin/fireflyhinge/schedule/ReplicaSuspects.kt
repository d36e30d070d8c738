package fireflyhinge.schedule

import fireflyhinge.peer.PlaceRequest
import fireflyhinge.quota.CrashLevel

/** The suspects bound to one replica. They are spread, so that few of them share the replica's next crash. */
internal class ReplicaSuspects {
    private val levels = HashMap<String, CrashLevel>()

    /** Whether a request of [level] may join the suspects that are here. */
    fun admits(level: CrashLevel): Boolean =
        when (level) {
            CrashLevel.NONE -> true
            CrashLevel.LIGHT -> levels.size < MAX_LIGHT && levels.values.none { it != CrashLevel.LIGHT }
            CrashLevel.STRONG, CrashLevel.BARRED -> levels.isEmpty()
        }

    /** Adds the request of [ticket] if it is a suspect. */
    fun add(ticket: Ticket) {
        val level = ticket.request.level
        if (level != CrashLevel.NONE) levels[ticket.id] = level
    }

    /** Removes a request that no longer touches the replica. */
    fun remove(ticket: Ticket) {
        levels -= ticket.id
    }

    private companion object {
        /**
         * A crashed replica has about 20 requests. With one suspect per replica they waited for one another for the
         * duration of several answers.
         */
        const val MAX_LIGHT = 4
    }
}

/** How far the request is confined. */
internal val PlaceRequest.level: CrashLevel get() = CrashLevel.of(crashes)
