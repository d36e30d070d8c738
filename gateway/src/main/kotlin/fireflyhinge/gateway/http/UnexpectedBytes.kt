package fireflyhinge.gateway.http

/** A server sent bytes that are no answer to the request that waits on the connection, if any does. */
internal class UnexpectedBytes(val reason: String)
