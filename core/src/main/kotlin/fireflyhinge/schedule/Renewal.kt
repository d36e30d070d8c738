package fireflyhinge.schedule

/** Result of the renewal of a ticket. */
enum class Renewal {
    /** The ticket is valid for its whole time again. */
    RENEWED,

    /** The ticket has expired; its holder must stop. */
    LAPSED,

    /** This owner does not know the ticket; its holder has to send its full state. */
    UNKNOWN,
}
