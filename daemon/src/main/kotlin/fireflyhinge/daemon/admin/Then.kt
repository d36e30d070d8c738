package fireflyhinge.daemon.admin

import fireflyhinge.result.Outcome

/** Continues with [next] after a success; a failure stays as it is. */
internal inline fun <T, R> Outcome<T>.then(next: (T) -> Outcome<R>): Outcome<R> =
    when (this) {
        is Outcome.Success -> next(value)
        is Outcome.Failure -> this
    }
