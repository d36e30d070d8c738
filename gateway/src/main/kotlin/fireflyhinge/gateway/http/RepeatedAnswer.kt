package fireflyhinge.gateway.http

import java.io.IOException

/** A server answered an earlier call a second time. Its answer to this call was not read. */
internal class RepeatedAnswer(message: String) : IOException(message)
