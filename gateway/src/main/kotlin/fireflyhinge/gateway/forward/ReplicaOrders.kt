package fireflyhinge.gateway.forward

import fireflyhinge.forward.StageOrder
import fireflyhinge.gateway.http.HttpCalls
import org.slf4j.LoggerFactory
import java.io.IOException

/** Gives orders to replicas. */
internal class ReplicaOrders(
    private val calls: HttpCalls,
    dialects: ReplicaDialects,
) {
    private val dialect = dialects.orders
    private val own = dialects.places::own
    private val log = LoggerFactory.getLogger(javaClass)

    /**
     * Gives [order] for [holder]. [token] is asked immediately before the order is sent; null means that this VM may
     * not give orders any more. Returns whether the replica has carried it out or may still do so.
     */
    suspend fun give(order: StageOrder, holder: String, token: () -> Long?): Boolean {
        val id = order.replica.id
        val address = order.replica.address
        return try {
            val report = calls.call(address, "GET", dialect.reportPath, headers = own(id), millis = MILLIS)
            val accepted = if (report.status == OK) dialect.ordersAccepted(report.body) else null
            val fence = token()
            if (accepted == null || fence == null) {
                log.atInfo().addKeyValue("replica", id).addKeyValue("report", report.status)
                    .addKeyValue("claim_valid", fence != null).log("no order given")
                return false
            }
            val (path, body) = dialect.order(order, holder, fence, accepted)
            val answer = calls.call(address, "POST", path, body, own(id), MILLIS)
            log.atInfo().addKeyValue("replica", id).addKeyValue("stage", order.stage).addKeyValue("token", fence)
                .addKeyValue("status", answer.status).log("order given")
            answer.status == OK || answer.status == ACCEPTED
        } catch (e: IOException) {
            log.atInfo().addKeyValue("replica", id).addKeyValue("stage", order.stage).addKeyValue("reason", e.message)
                .log("an order may have been lost")
            true
        }
    }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202

        /** Ten round trips between regions; replicas answer at once. */
        const val MILLIS = 600L
    }
}
