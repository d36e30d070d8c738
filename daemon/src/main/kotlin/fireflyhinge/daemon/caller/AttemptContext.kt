package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.peer.PlaceReply
import fireflyhinge.time.millis

/**
 * What the steps of one attempt share.
 *
 * @property avoided replicas that were to be avoided at the placement; one of them was chosen only for want of others.
 */
internal data class AttemptContext(
    val ports: CallerPorts,
    val limits: PipelineLimits,
    val job: ModelJob,
    val caller: CallerLink,
    val progress: AnswerProgress,
    val placed: PlaceReply.Placed,
    val id: EngineRequestId,
    val avoided: Set<String>,
) {
    private val placedAt = ports.clock.millis()

    /** Why the attempt must not go on, or null when it may. */
    fun blocked(): AttemptResult? =
        when {
            caller.departed() -> AttemptResult.Departed
            !job.access.stillGranted(ports.config.current()) -> AttemptResult.KeyWithdrawn
            !ports.placement.isValid(placed.ticket) -> AttemptResult.TicketExpired
            else -> null
        }

    /**
     * Why the decode replica must not get the request now, or null when it may. After a long prefill the replica may
     * have been leaving for long, although it was not when it was chosen. Only the replica itself is certain to know:
     * its own report goes to the cell owner, not to this daemon.
     */
    fun leaving(): AttemptResult? {
        val replica = placed.decodeReplica
        val late = ports.clock.millis() - placedAt >= limits.leavingMillis && replica !in avoided
        val leaves = late && (ports.config.current().upstreams[replica]?.leaving == true || reportsLeaving())
        return if (leaves) AttemptResult.Leaving(replica) else null
    }

    /** Without a report the import decides whether the replica can be reached. */
    private fun reportsLeaving(): Boolean =
        when (val report = ports.engines.readLoad(placed.decodeAddress)) {
            is EngineResult.Ok -> report.value.leaving
            is EngineResult.Failed -> false
        }

    /** The result of a [failure] of the prefill replica. */
    fun prefillFailed(failure: EngineFailure): AttemptResult =
        failed(placed.prefillReplica, placed.prefillAddress, failure)

    /** The result of a [failure] of the decode replica. */
    fun decodeFailed(failure: EngineFailure): AttemptResult =
        failed(placed.decodeReplica, placed.decodeAddress, failure)

    /** The result of a [failure] of the KV transfer. If it broke, either replica may be the cause. */
    fun importFailed(failure: EngineFailure): AttemptResult {
        val result = decodeFailed(failure)
        return when {
            result !is AttemptResult.Failed -> result
            failure is EngineFailure.Expired -> result.copy(transfer = true)
            failure !is EngineFailure.Broken -> result
            else -> result.copy(avoid = setOf(placed.prefillReplica, placed.decodeReplica), transfer = true)
        }
    }

    private fun failed(replica: String, address: String, failure: EngineFailure): AttemptResult =
        if (caller.departed()) AttemptResult.Departed else AttemptResult.Failed(replica, address, failure)
}
