package fireflyhinge.gateway.forward

import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.Trait
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.repeatForever
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Keeps requests that crash replicas away from them: refuses new ones, and ends those that have not begun to respond
 * when that becomes known. All coroutines must run on one thread.
 */
internal class CrashGuard(private val evidence: CrashEvidence, registry: PrometheusRegistry) {
    private class Running(val context: RequestContext, val response: ResponseWriter) {
        val stopped = CompletableDeferred<Unit>()
        var work: Job? = null

        /** Ends the request; it gets no event after that. */
        fun stop() {
            // In this order, since awaiting cancelled work fails.
            stopped.complete(Unit)
            work?.cancel()
        }
    }

    private val running = LinkedHashSet<Running>()
    private val changes = Channel<Unit>(Channel.CONFLATED)
    private var applied = emptySet<Set<Trait>>()
    private val named =
        Counter
            .builder()
            .name("fireflyhinge_crash_verdicts_total")
            .help("Combinations of request traits that this VM began to refuse because they crash replicas.")
            .register(registry)

    /** Tells that the evidence has changed. */
    fun notifyChange() {
        changes.trySend(Unit)
    }

    /** Returns the refusal of the request of [context] if such requests crash replicas. */
    fun refusal(context: RequestContext): Outcome.Failure? {
        val verdicts = evidence.verdicts()
        if (verdicts.combinations != applied) notifyChange()
        val match = verdicts.match(context.traits) ?: return null
        context.barred = true
        context.attemptLog += "crashes replicas: $match"
        return Outcome.Failure(ResultCode.CRASH_SUSPECTED)
    }

    /** Runs [block], which forwards the request of [context], until such requests turn out to crash replicas. */
    suspend fun forward(
        context: RequestContext,
        response: ResponseWriter,
        block: suspend () -> ForwardResult,
    ): ForwardResult =
        coroutineScope {
            val own = Running(context, response).also { running += it }
            try {
                val work = async { block() }.also { own.work = it }
                select {
                    work.onAwait { it }
                    own.stopped.onAwait {
                        work.join()
                        ForwardResult.Failed(Outcome.Failure(ResultCode.CRASH_SUSPECTED))
                    }
                }
            } finally {
                running -= own
            }
        }

    /** Applies changes of the verdicts to the requests that are being forwarded, until cancelled. */
    suspend fun applyVerdicts(): Nothing =
        repeatForever(log, "naming crash suspects") {
            applyNow(evidence.verdicts().combinations)
            val next = evidence.verdicts().nextChangeMillis
            if (next == null) changes.receive() else withTimeoutOrNull(next) { changes.receive() }
        }

    private fun applyNow(combinations: Set<Set<Trait>>) {
        if (combinations == applied) return
        (combinations - applied).forEach { logNamed(it) }
        (applied - combinations).forEach {
            log.atInfo().addKeyValue("traits", it.toString()).log("no longer refusing requests that crashed replicas")
        }
        applied = combinations
        running.filterNot { it.context.barred }.filter { refusal(it.context) != null }.forEach {
            // A response that has begun is sound; the request is sent to no further replica, though.
            if (!it.response.started) it.stop()
        }
    }

    private fun logNamed(traits: Set<Trait>) {
        named.inc()
        evidence.on(traits).traits.forEach { report ->
            log
                .atWarn()
                .addKeyValue("trait", report.trait.toString())
                .addKeyValue("traits", traits.toString())
                .addKeyValue("crashes", report.sightings.map { "${it.crash} ${it.request} ${it.ageMillis} ms ago" })
                .addKeyValue("sound_millis_ago", report.soundAgeMillis)
                .log("refusing requests that crash replicas")
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(CrashGuard::class.java)
    }
}
