package fireflyhinge.gateway.http

/** Channel event: a server sent bytes that are not a response to the pending request, if any is pending. */
internal class UnexpectedBytes(val reason: String)
