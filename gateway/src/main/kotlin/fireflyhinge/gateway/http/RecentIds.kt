package fireflyhinge.gateway.http

/** Ids in the most recent responses on a connection. */
internal class RecentIds {
    private val ids = ArrayDeque<String>()

    /** Adds [id] and evicts the oldest one if the limit is exceeded. Returns false if [id] is already present. */
    fun add(id: String): Boolean {
        if (id in ids) return false
        ids += id
        if (ids.size > MAX_IDS) ids.removeFirst()
        return true
    }

    private companion object {
        /** Responses that may still be repeated; servers repeat a response at the next request at the earliest. */
        const val MAX_IDS = 64
    }
}
