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

/**
 * Tells crashes of replicas from broken or silent connections. A crash is a broken connection followed by a refused
 * connection or by another incarnation of the engine; the same incarnation shows that there was none.
 */
internal class CrashDetector(
    private val ports: CallerPorts,
    private val limits: PipelineLimits,
    executor: Executor,
) {
    private class Reading(val atMillis: Long, val incarnation: CompletableFuture<Long?>)

    private val readings = ConcurrentHashMap<String, Reading>()
    private val probes = LoadProbes(ports.engines, limits.crashProbeMillis, executor)

    /** Notes the incarnations of the replicas of [placed] before they get the request. Neither blocks nor throws. */
    fun watch(placed: PlaceReply.Placed): Watch =
        Watch(listOf(placed.prefillAddress, placed.decodeAddress).associateWith { incarnation(it) })

    /** The incarnations at the start of one attempt. */
    inner class Watch(private val before: Map<String, CompletableFuture<Long?>>) {
        /**
         * Completes with whether the failure of [result] was a crash, once that is known and a crash is reported. Stays
         * open if there is no evidence of either within the longest wait for a new placement.
         */
        fun verdict(job: ModelJob, result: AttemptResult.Failed): CompletableFuture<Boolean> {
            if (result.failure !is EngineFailure.Broken) return CompletableFuture.completedFuture(false)
            val known = before.getValue(result.address)
            val deadline = ports.clock.millis() + limits.newPlaceWait(job.priority, crashes = 1)
            return decide(result.address, known, deadline, probes.now(result.address))
                .thenApply { crashed -> crashed.also { if (it) report(job, result.replica, known.getNow(null)) } }
        }
    }

    private fun decide(
        address: String,
        known: CompletableFuture<Long?>,
        deadline: Long,
        probe: CompletableFuture<EngineResult<EngineLoad>>,
    ): CompletableFuture<Boolean> =
        probe.thenCompose { load ->
            val evidence = evidence(load, known)
            when {
                evidence != null -> CompletableFuture.completedFuture(evidence)
                ports.clock.millis() < deadline -> decide(address, known, deadline, probes.later(address))
                else -> CompletableFuture()
            }
        }

    // A replica that answers and whose earlier incarnation could not be read counts as alive all the time.
    private fun evidence(load: EngineResult<EngineLoad>, known: CompletableFuture<Long?>): Boolean? =
        when (load) {
            is EngineResult.Ok -> if (known.isDone) known.join() !in setOf(null, load.value.incarnation) else null
            is EngineResult.Failed -> true.takeIf { (load.failure as? EngineFailure.Unreachable)?.refused == true }
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
            probes.now(address).thenApply { (it as? EngineResult.Ok)?.value?.incarnation }
        } catch (_: RejectedExecutionException) {
            CompletableFuture.completedFuture(null)
        }

    private companion object {
        // One read a second for each replica in use; an older reading could predate a restart that is not this crash.
        const val MAX_AGE_MILLIS = 1000L
    }
}
