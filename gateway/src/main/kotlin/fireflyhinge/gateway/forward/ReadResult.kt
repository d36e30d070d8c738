package fireflyhinge.gateway.forward

/** Result of an exchange on a connection, and whether the connection can be reused. */
internal sealed interface ReadResult<out T> {
    val value: T

    /** The response was read to its end. */
    data class Complete<T>(override val value: T) : ReadResult<T>

    /** The response was interrupted, or the rest of it is not needed. */
    data class Incomplete<T>(override val value: T) : ReadResult<T>
}
