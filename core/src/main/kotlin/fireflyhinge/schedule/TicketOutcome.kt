package fireflyhinge.schedule

/** How a ticket ended. */
internal enum class TicketOutcome {
    /** The holder released it. */
    RELEASED,

    /** It was not renewed in time. */
    EXPIRED,
}
