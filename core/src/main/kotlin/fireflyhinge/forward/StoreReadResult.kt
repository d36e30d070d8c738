package fireflyhinge.forward

/** Result of a read of the store. */
sealed interface StoreReadResult {
    /** All objects of a kind at [revision] of [era]. */
    data class Listing(val items: List<StoreItem>, val revision: Long, val era: Long = 0) : StoreReadResult

    /** The copy of another VM, which is newer than this one's. */
    data class PeerCopy(val listing: Listing, val vm: String) : StoreReadResult

    /** Objects changed and removed since the requested revision; the next watch starts at [revision] of [era]. */
    data class Changes(
        val changed: List<StoreItem>,
        val removed: Set<String>,
        val revision: Long,
        val era: Long = 0,
    ) : StoreReadResult {
        /** Whether there is no change. */
        fun isEmpty(): Boolean = changed.isEmpty() && removed.isEmpty()
    }

    /** The store has discarded the requested changes; the kind must be listed again. */
    data object HistoryGone : StoreReadResult

    /** The response is of an older era than the known one, or its parts are of different eras. */
    data class Outdated(val reason: String) : StoreReadResult

    /** The store returned no usable response. */
    data class Unavailable(val reason: String) : StoreReadResult
}
