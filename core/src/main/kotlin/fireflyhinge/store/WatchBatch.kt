package fireflyhinge.store

/** Objects changed after the position that a watch named, and the position to continue from. */
data class WatchBatch(val objects: List<StoredObject>, val position: Long)
