package fireflyhinge.schedule

/** How a ticket ended. */
internal enum class TicketEnd {
    /** Its holder gave it back. */
    RELEASED,

    /** It was not renewed in time. */
    LAPSED,
}
