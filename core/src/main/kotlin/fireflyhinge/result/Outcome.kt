package fireflyhinge.result

/** Result of an operation that may fail with a numbered code. */
sealed interface Outcome<out T> {
    /** The operation succeeded with [value]. */
    data class Success<T>(val value: T) : Outcome<T>

    /** The operation failed; [detail] names the invalid value and never contains a key. */
    data class Failure(val code: ResultCode, val detail: String = "", val retryAfterMillis: Long? = null) :
        Outcome<Nothing>
}

/** Applies [transform] to the value of a success and leaves a failure unchanged. */
inline fun <T, R> Outcome<T>.map(transform: (T) -> R): Outcome<R> =
    when (this) {
        is Outcome.Success -> Outcome.Success(transform(value))
        is Outcome.Failure -> this
    }

/** Continues with [next] after a success and leaves a failure unchanged. */
inline fun <T, R> Outcome<T>.flatMap(next: (T) -> Outcome<R>): Outcome<R> =
    when (this) {
        is Outcome.Success -> next(value)
        is Outcome.Failure -> this
    }
