package fireflyhinge.gateway.fleet

import fireflyhinge.forward.OrderTurns
import org.slf4j.LoggerFactory

/** The right to give orders to replicas, which one VM at a time has through the platform's store. */
internal class OrderRight(
    /** Name of this VM's process. */
    val holder: String,
    pauseMillis: Long,
    private val store: ClaimStore,
) {
    private val turns = OrderTurns(holder, pauseMillis)
    private val log = LoggerFactory.getLogger(javaClass)

    /** Fencing token of this VM's orders, or null if it may not give any now. */
    fun token(): Long? = turns.token()

    /** Whether this VM may claim the right, by what the store holds now. */
    suspend fun mayClaim(): Boolean {
        val answer = store.orderClaim()
        if (answer is ClaimAnswer.Held) turns.seen(answer.claim)
        val may = answer is ClaimAnswer.Held && turns.mayClaim()
        if (!may) log.atInfo().addKeyValue("claim", answer).log("no claim: another VM may give orders, or no answer")
        return may
    }

    /** Claims the right. Returns whether the store confirmed it in time. */
    suspend fun claim(): Boolean {
        turns.claiming()
        val answer = store.claimOrders(holder, turns.claim)
        if (answer is ClaimAnswer.Held) turns.seen(answer.claim)
        val claimed = answer is ClaimAnswer.Held && token() != null
        log.atInfo().addKeyValue("claim", answer).addKeyValue("valid", claimed).log("orders claimed")
        return claimed
    }
}
