package fireflyhinge.gateway.forward

/** What was read from a connection. */
internal sealed interface ReadResult<out T> {
    /** The result that the caller of the read gets. */
    val value: T

    /** The answer was read to its end. */
    data class Complete<T>(override val value: T) : ReadResult<T>

    /** The answer broke off or is not wanted further. */
    data class Incomplete<T>(override val value: T) : ReadResult<T>
}
