package fireflyhinge.store

/** Objects that changed after the position passed to a watch, and the position to continue from. */
data class WatchBatch(val objects: List<StoredObject>, val position: Long)
