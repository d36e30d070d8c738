package fireflyhinge.order

/** The outcome of sending an order. */
sealed interface OrderOutcome {
    /** The engine accepted the order. Its load report shows the progress. */
    data object Accepted : OrderOutcome

    /** The order was not sent. */
    data class NotSent(val reason: String) : OrderOutcome

    /** The engine knows a higher fencing token. */
    data class StaleToken(val reason: String) : OrderOutcome

    /** The engine refused the order for another reason. */
    data class Refused(val reason: String) : OrderOutcome

    /** The order was sent but not answered, so the engine may carry it out. */
    data class Unknown(val reason: String) : OrderOutcome
}
