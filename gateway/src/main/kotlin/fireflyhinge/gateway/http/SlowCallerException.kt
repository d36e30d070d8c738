package fireflyhinge.gateway.http

import kotlinx.coroutines.CancellationException

/** Cancels the request of a caller whose connection was closed because it does not read. */
class SlowCallerException : CancellationException("the caller does not read")
