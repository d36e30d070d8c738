package fireflyhinge.gateway.http

import java.io.IOException

/** A server responded a second time to an earlier call. Its response to this call was not read. */
internal class DuplicateResponseException(message: String) : IOException(message)
