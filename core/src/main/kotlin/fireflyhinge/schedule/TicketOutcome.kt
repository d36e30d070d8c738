package fireflyhinge.schedule

/** How a ticket ended. */
internal enum class TicketOutcome {
    /** Its holder gave it back. */
    RELEASED,

    /** It was not renewed in time. */
    EXPIRED,
}
