package fireflyhinge.daemon.caller

/** A field of a request has a value that is not allowed; the message starts with the field's path. */
internal class InvalidField(message: String) : Exception(message)
