package fireflyhinge.daemon.service

import fireflyhinge.daemon.caller.CallerLink
import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.retry.RetryBudgets

/** Sends one call to replicas of its service. */
internal class ServiceSender(
    private val client: ServiceClient,
    private val replicas: ReplicaChooser,
    private val budgets: RetryBudgets,
    private val attempts: Int,
) {
    /**
     * Sends [call]; null when no replica is available. Another replica is tried as long as no byte was sent. With
     * [repeatable], also after a lost answer, within the retry budget and until [repeatable] has departed.
     */
    fun send(call: ServiceCall, repeatable: CallerLink?): SendResult? {
        budgets.recordRequest(call.access.scope, call.route.service)
        var avoid = emptySet<String>()
        var last: SendResult? = null
        repeat(attempts) {
            if (last != null && !mayRepeat(call, last, repeatable)) return last
            val next =
                replicas.choose(call.route.service, avoid) { replica ->
                    avoid = avoid + replica.name
                    Tracing.hop("service") { client.send(replica.address, traced(call.request), repeatable) }
                }
            last = next ?: return last
        }
        return last
    }

    private fun mayRepeat(call: ServiceCall, last: SendResult?, repeatable: CallerLink?): Boolean =
        when (last) {
            is SendResult.NotSent -> repeatable?.departed() != true
            is SendResult.Lost ->
                repeatable?.departed() == false && budgets.tryAcquire(call.access.scope, call.route.service)
            else -> false
        }

    private fun traced(request: ServiceRequest): ServiceRequest {
        val parent = Tracing.traceparent() ?: return request
        val headers = request.headers.filterNot { it.first.equals("traceparent", ignoreCase = true) }
        return ServiceRequest(
            method = request.method,
            path = request.path,
            query = request.query,
            headers = headers + ("traceparent" to parent),
            body = request.body,
        )
    }
}
