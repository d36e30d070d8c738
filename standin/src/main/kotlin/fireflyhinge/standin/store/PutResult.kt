package fireflyhinge.standin.store

import fireflyhinge.store.StoredObject

/** Result of a conditional write. */
internal sealed interface PutResult {
    data class Written(val version: Long) : PutResult

    data class Conflict(val current: StoredObject?) : PutResult
}
