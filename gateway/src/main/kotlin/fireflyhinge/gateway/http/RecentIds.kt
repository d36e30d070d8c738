package fireflyhinge.gateway.http

/** The ids of the last requests that a connection carried. */
internal class RecentIds {
    private val ids = ArrayDeque<String>()

    /** Adds [id]; the oldest one is forgotten. */
    fun add(id: String) {
        ids += id
        if (ids.size > MOST) ids.removeFirst()
    }

    operator fun contains(id: String): Boolean = id in ids

    private companion object {
        /** Requests whose second answers may still come; servers answer twice at the next request at the earliest. */
        const val MOST = 64
    }
}
