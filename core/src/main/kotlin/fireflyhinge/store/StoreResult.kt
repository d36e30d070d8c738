package fireflyhinge.store

/** Result of a call to the platform store. */
sealed interface StoreResult<out T> {
    /** The store returned [value]. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /** The object does not exist. */
    data object NotFound : StoreResult<Nothing>

    /** The write condition did not hold; [current] is the current object, or null if it does not exist. */
    data class Conflict(val current: StoredObject?) : StoreResult<Nothing>

    /** The store rejected the value, for example because it is over 1 MB. */
    data class Rejected(val reason: String) : StoreResult<Nothing>

    /** The call did not reach the store, or the store rejected it before processing it; nothing was changed. */
    data class Unavailable(val reason: String) : StoreResult<Nothing>

    /** The call was sent and no response arrived; a write may have taken effect. */
    data class Unknown(val reason: String) : StoreResult<Nothing>
}
