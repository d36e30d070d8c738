package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineResult
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.PlaceReply
import fireflyhinge.time.millis
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Tells crashes of replicas from broken or silent connections. A crash is a broken connection followed by a refused
 * connection or by another incarnation of the engine.
 */
internal class CrashDetector(
    private val ports: CallerPorts,
    private val probeMillis: Long,
    private val executor: Executor,
) {
    private class Reading(val atMillis: Long, val incarnation: CompletableFuture<Long?>)

    private val readings = ConcurrentHashMap<String, Reading>()

    /** Notes the incarnations of the replicas of [placed] before they get the request. Neither blocks nor throws. */
    fun watch(placed: PlaceReply.Placed): Watch =
        Watch(listOf(placed.prefillAddress, placed.decodeAddress).associateWith { incarnation(it) })

    /** The incarnations at the start of one attempt. */
    inner class Watch(private val before: Map<String, CompletableFuture<Long?>>) {
        /**
         * Whether the failure of [result] was a crash; a crash is reported. A verdict that takes longer than the limit
         * counts as no crash here and is reported later.
         */
        fun crashed(job: ModelJob, result: AttemptResult.Failed): Boolean {
            if (result.failure !is EngineFailure.Broken) return false
            val known = before[result.address]?.getNow(null)
            val verdict = CompletableFuture.supplyAsync({ probe(result.address, known) }, executor)
            verdict.thenAccept { if (it) report(job, result.replica, known) }
            return try {
                verdict.get(probeMillis, TimeUnit.MILLISECONDS)
            } catch (_: TimeoutException) {
                false
            }
        }
    }

    private fun probe(address: String, known: Long?): Boolean =
        when (val load = ports.engines.load(address)) {
            is EngineResult.Ok -> known != null && load.value.incarnation != known
            is EngineResult.Failed -> (load.failure as? EngineFailure.Unreachable)?.refused ?: false
        }

    private fun report(job: ModelJob, replica: String, incarnation: Long?) {
        val report =
            CrashReport(
                replica = replica,
                replicaIncarnation = incarnation ?: 0,
                workspace = job.access.scope,
                fingerprints = setOf(job.digest.fingerprint),
            )
        ports.quota.reportCrash(report)
    }

    private fun incarnation(address: String): CompletableFuture<Long?> {
        val now = ports.clock.millis()
        val reading =
            readings.compute(address) { _, old ->
                if (old != null && now - old.atMillis < MAX_AGE_MILLIS) old else Reading(now, read(address))
            }
        return checkNotNull(reading).incarnation
    }

    private fun read(address: String): CompletableFuture<Long?> =
        try {
            CompletableFuture.supplyAsync({ incarnationOf(ports.engines.load(address)) }, executor)
        } catch (_: RejectedExecutionException) {
            CompletableFuture.completedFuture(null)
        }

    private fun incarnationOf(load: EngineResult<EngineLoad>): Long? =
        (load as? EngineResult.Ok)?.value?.incarnation

    private companion object {
        // One read a second for each replica in use; an older reading could predate a restart that is not this crash.
        const val MAX_AGE_MILLIS = 1000L
    }
}
