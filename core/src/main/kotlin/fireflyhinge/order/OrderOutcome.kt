package fireflyhinge.order

/** How the sending of an order ended. */
sealed interface OrderOutcome {
    /** The engine accepted the order; its report tells how it goes on. */
    data object Accepted : OrderOutcome

    /** Nothing was sent. */
    data class NotSent(val reason: String) : OrderOutcome

    /** The engine knows a higher fencing token. */
    data class StaleToken(val reason: String) : OrderOutcome

    /** The engine refused for another reason. */
    data class Refused(val reason: String) : OrderOutcome

    /** The order was sent and no answer came, so that the engine may carry it out. */
    data class Unknown(val reason: String) : OrderOutcome
}
