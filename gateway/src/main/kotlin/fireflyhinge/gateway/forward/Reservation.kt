package fireflyhinge.gateway.forward

/** Answer of a replica that was asked to keep a place. */
internal sealed interface Reservation {
    /** The replica keeps the place [id]. */
    data class Granted(val id: String) : Reservation

    /** The replica has no room. */
    data object Full : Reservation

    /** The replica keeps no places; it may still serve the request. */
    data object Unsupported : Reservation

    /** The replica did not answer. */
    data class NoResponse(val reason: String) : Reservation
}
