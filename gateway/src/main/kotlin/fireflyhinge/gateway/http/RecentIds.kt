package fireflyhinge.gateway.http

/** The ids that came last in answers on a connection. */
internal class RecentIds {
    private val ids = ArrayDeque<String>()

    /** Adds [id] and forgets the oldest one. False if [id] is there already. */
    fun add(id: String): Boolean {
        if (id in ids) return false
        ids += id
        if (ids.size > MOST) ids.removeFirst()
        return true
    }

    private companion object {
        /** Answers that may still come a second time; servers answer twice at the next request at the earliest. */
        const val MOST = 64
    }
}
