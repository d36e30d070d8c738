package fireflyhinge.forward

/** Answer to a read of the store. */
sealed interface StoreReadResult {
    /** All objects of a kind at [revision]. */
    data class Listing(val items: List<StoreItem>, val revision: Long) : StoreReadResult

    /** Objects changed and removed since the revision that was asked for; [revision] is where to go on. */
    data class Changes(val changed: List<StoreItem>, val removed: Set<String>, val revision: Long) : StoreReadResult

    /** The store no longer has the changes; the kind must be listed. */
    data object HistoryGone : StoreReadResult

    /** The store gave no usable answer. */
    data class Unavailable(val reason: String) : StoreReadResult
}
