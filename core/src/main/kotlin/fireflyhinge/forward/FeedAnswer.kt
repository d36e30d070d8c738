package fireflyhinge.forward

/** Answer to a read of the store. */
sealed interface FeedAnswer {
    /** All objects of a kind at [revision]. */
    data class Listing(val items: List<FeedItem>, val revision: Long) : FeedAnswer

    /** Objects changed and removed since the revision that was asked for; [revision] is where to go on. */
    data class Changes(val changed: List<FeedItem>, val removed: Set<String>, val revision: Long) : FeedAnswer

    /** The store no longer has the changes; the kind must be listed. */
    data object HistoryGone : FeedAnswer

    /** The store gave no usable answer. */
    data class Unavailable(val reason: String) : FeedAnswer
}
