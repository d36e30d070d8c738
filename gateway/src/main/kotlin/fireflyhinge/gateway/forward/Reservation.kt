package fireflyhinge.gateway.forward

/** Result of a reservation call to a replica. */
internal sealed interface Reservation {
    /** The replica reserved a slot under [id]. */
    data class Granted(val id: String) : Reservation

    /** The replica has no free slot. */
    data object Full : Reservation

    /** The replica does not support reservations; it may still serve the request. */
    data object Unsupported : Reservation

    /** The replica did not respond. */
    data class NoResponse(val reason: String) : Reservation
}
