package fireflyhinge.daemon.service

import fireflyhinge.store.StoredObject

/** Result of a conditional write that is repeated until its effect is known. */
internal sealed interface WriteResult {
    /** The object is as written, in [version]. */
    data class Written(val version: Long) : WriteResult

    /** The condition did not hold; [found] may be the write's own effect when an earlier reply was lost. */
    data class Found(val found: StoredObject) : WriteResult

    /** The store gave no answer in time. [uncertain] tells that a write may have taken effect. */
    data class Failed(val reason: String, val uncertain: Boolean) : WriteResult
}
