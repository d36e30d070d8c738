package fireflyhinge.gateway.forward

/** What was read from a connection. */
internal sealed interface Reading<out T> {
    /** The result that the caller of the read gets. */
    val value: T

    /** The answer was read to its end. */
    data class Whole<T>(override val value: T) : Reading<T>

    /** The answer broke off or is not wanted further. */
    data class Partial<T>(override val value: T) : Reading<T>
}
