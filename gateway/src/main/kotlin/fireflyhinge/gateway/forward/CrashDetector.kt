package fireflyhinge.gateway.forward

import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.ReplicaState
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.runLogged
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Tells replicas that crashed from those that only closed a connection: nothing listens at the address of the former.
 * Collects the evidence on why they crashed. All coroutines must run on one thread.
 */
internal class CrashDetector(
    private val pool: ConnectionPool,
    private val scope: CoroutineScope,
    private val evidence: CrashEvidence,
    registry: PrometheusRegistry,
) {
    private val broken = HashMap<ReplicaState, ArrayList<BrokenRun>>()
    private val crashes =
        Counter
            .builder()
            .name("fireflyhinge_replica_crashes_total")
            .help("Replicas that ended without notice while they ran requests of this VM.")
            .labelNames("service")
            .register(registry)

    /** Records that a replica sent a sound response to the request of [context], which began at [beganMillis]. */
    fun recordSound(context: RequestContext, beganMillis: Long) = evidence.recordSound(context.traits, beganMillis)

    /** Records that [run] broke off at [state]'s replica. */
    fun record(state: ReplicaState, run: BrokenRun) {
        // A replica that leaves ends after its last requests, or cuts them off.
        if (state.leaving) return
        val runs = broken.getOrPut(state) { ArrayList() }
        runs += run
        if (runs.size == 1) scope.launch { runLogged(log, "checking a replica") { check(state) } }
    }

    private suspend fun check(state: ReplicaState) {
        var crashed = false
        try {
            // The runs on a replica break off within the time that its connections take to close.
            delay(GATHER_MILLIS)
            crashed = ended(state)
        } finally {
            val runs = broken.remove(state).orEmpty()
            if (crashed) crashed(state, runs)
        }
    }

    private suspend fun ended(state: ReplicaState): Boolean {
        repeat(CHECKS) {
            if (it > 0) delay(CHECK_INTERVAL_MILLIS)
            try {
                if (!pool.isListening(state.replica.address)) return true
            } catch (e: ConnectFailedException) {
                log.debug("unknown whether replica {} has ended: {}", state.replica.id, e.message)
            }
        }
        return false
    }

    private fun crashed(state: ReplicaState, runs: List<BrokenRun>) {
        crashes.labelValues(state.replica.service).inc()
        val suspects = runs.filterNot { it.settled }
        log
            .atInfo()
            .addKeyValue("replica", state.replica.id)
            .addKeyValue("service", state.replica.service)
            .addKeyValue("settled", runs.size - suspects.size)
            .addKeyValue("unsettled", suspects.map { it.toLogText() })
            .log("replica crashed")
        val crash = "${state.replica.id}@${state.replica.startedAt}"
        evidence.recordCrash(crash, suspects.map { it.context.traits })
    }

    private companion object {
        val log = LoggerFactory.getLogger(CrashDetector::class.java)
        const val GATHER_MILLIS = 50L

        /** A process that ends may accept connections for a moment after it closed others. */
        const val CHECKS = 2
        const val CHECK_INTERVAL_MILLIS = 200L
    }
}
