package fireflyhinge.gateway.forward

import fireflyhinge.forward.StageOrder

/** Writes orders to replicas and reads what they report of themselves. */
interface OrderDialect {
    /** Path of the `GET` call that answers with a report. */
    val reportPath: String

    /** Number of orders that the replica has accepted since its start, by the report in [body]; null if unreadable. */
    fun ordersAccepted(body: ByteArray): Long?

    /**
     * Path and body of the `POST` call that gives [order] for [holder] with the fencing [token]. The replica carries it
     * out only if it has accepted [accepted] orders before, also when it comes to that late.
     */
    fun order(order: StageOrder, holder: String, token: Long, accepted: Long): Pair<String, ByteArray>
}
