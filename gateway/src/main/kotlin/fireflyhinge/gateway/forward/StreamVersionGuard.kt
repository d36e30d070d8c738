package fireflyhinge.gateway.forward

import fireflyhinge.forward.Replica
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.ServiceVersions
import fireflyhinge.forward.StreamOrigin
import fireflyhinge.forward.StreamOrigins
import fireflyhinge.gateway.fleet.StreamOriginExchange
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/**
 * Keeps each resumable stream at the software version that began it, within one response and over the attempts of its
 * caller. A stream whose version is not known is not continued.
 *
 * @param ask asks other VMs where a stream began.
 */
internal class StreamVersionGuard(
    private val origins: StreamOrigins,
    private val versions: ServiceVersions,
    private val table: ReplicaTable,
    private val ask: suspend (String) -> StreamOriginExchange.Finding,
) {
    /** Finds where the stream that [context] continues began. Returns why it cannot be continued, or null. */
    suspend fun refusal(context: RequestContext): Outcome.Failure? {
        val route = context.admission.route
        if (!route.resumable || context.metadata.lastEvent == null) return null
        val finding = find(context)
        val origin = finding.origin
        if (origin == null || route.targets.none { it.service == origin.service }) {
            context.attemptLog += "origin of the stream unknown, ${finding.heard} of ${finding.asked} VMs heard"
            val retryAfter = RETRY_AFTER_MILLIS.takeIf { !finding.complete }
            return Outcome.Failure(ResultCode.STREAM_ORIGIN_UNKNOWN, retryAfterMillis = retryAfter)
        }
        context.attemptLog += "continues a stream of ${origin.service} ${origin.version}"
        context.origin = origin
        if (!versionGone(context)) return null
        return Outcome.Failure(ResultCode.NO_UPSTREAM, "No upstream of the version that began the stream is left.")
    }

    /**
     * Finds where the stream began: what this VM or another one was told goes before what this VM's list shows, which
     * may be behind.
     */
    private suspend fun find(context: RequestContext): StreamOriginExchange.Finding {
        val only = versions.only(context.service)?.let { StreamOrigin(context.service, it) }
        val id = context.metadata.resumedRequestId ?: return StreamOriginExchange.Finding(only, complete = true)
        origins.find(id)?.let { return StreamOriginExchange.Finding(it, complete = true) }
        val finding = ask(id)
        if (finding.origin != null || only == null || !finding.connected) return finding
        return StreamOriginExchange.Finding(only, finding.complete, finding.asked, finding.heard)
    }

    /** Whether no decode replica is listed at the version that began the stream of [context]. */
    fun versionGone(context: RequestContext): Boolean {
        val origin = context.origin ?: return false
        return table.listed(origin.service, ReplicaStage.DECODE).none { origin.includes(it.replica) }
    }

    /** Returns whether an event of [replica] may follow those that the caller has. If it has none, a stream begins. */
    fun mayForward(context: RequestContext, replica: Replica): Boolean {
        context.origin?.let { return it.includes(replica) }
        val origin = StreamOrigin(replica.service, replica.version)
        context.origin = origin
        val id = context.metadata.requestId
        if (context.admission.route.resumable && id != null) origins.began(id, origin)
        return true
    }

    private companion object {
        /** VMs that start read what they knew within about this time. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
