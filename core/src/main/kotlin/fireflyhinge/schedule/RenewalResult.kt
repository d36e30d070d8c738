package fireflyhinge.schedule

/** Result of the renewal of a ticket. */
enum class RenewalResult {
    /** The ticket is valid for its whole time again. */
    RENEWED,

    /** The ticket has expired; its holder must stop. */
    EXPIRED,

    /** This owner does not know the ticket; its holder has to send its full state. */
    UNKNOWN,
}
