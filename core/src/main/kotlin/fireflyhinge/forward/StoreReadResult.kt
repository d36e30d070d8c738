package fireflyhinge.forward

/** Result of a read of the store. */
sealed interface StoreReadResult {
    /** All objects of a kind at [revision]. */
    data class Listing(val items: List<StoreItem>, val revision: Long) : StoreReadResult

    /** Objects changed and removed since the requested revision; the next watch starts at [revision]. */
    data class Changes(val changed: List<StoreItem>, val removed: Set<String>, val revision: Long) : StoreReadResult {
        /** Whether there is no change. */
        fun isEmpty(): Boolean = changed.isEmpty() && removed.isEmpty()
    }

    /** The store has discarded the requested changes; the kind must be listed again. */
    data object HistoryGone : StoreReadResult

    /** The store returned no usable response. */
    data class Unavailable(val reason: String) : StoreReadResult
}
