package fireflyhinge.schedule

/** Result of a ticket renewal. */
enum class RenewalResult {
    /** The ticket is valid for its full TTL again. */
    RENEWED,

    /** The ticket has expired; its holder must stop. */
    EXPIRED,

    /** This owner does not know the ticket; its holder must send the full state. */
    UNKNOWN,
}
