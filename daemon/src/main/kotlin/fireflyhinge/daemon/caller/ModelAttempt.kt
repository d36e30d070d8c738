package fireflyhinge.daemon.caller

import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.Holder
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult

/** One attempt at a model request on the replicas of one placement. Used by one thread, once. */
internal class ModelAttempt(private val context: AttemptContext) {
    private val ports = context.ports
    private val progress = context.progress
    private val placed = context.placed
    private val holder by lazy { ports.membership.self().let { Holder(it.id, it.incarnation) } }

    // Addresses of engines that may hold something for this attempt.
    private val held = LinkedHashSet<String>()

    /** Runs prefill, import and decode, and gives everything back through [cleanup]. */
    fun run(cleanup: EngineCleanup): AttemptResult =
        try {
            context.blocked() ?: prefill()
        } finally {
            cleanup.end(context.id, placed.ticket, held.toList())
        }

    private fun prefill(): AttemptResult {
        val job = context.job
        val request =
            PrefillRequest(
                id = context.id,
                holder = holder,
                ticket = placed.ticket,
                model = job.chat.model,
                cacheScope = job.access.scope,
                messages = job.chat.messages,
                resumedTokens = progress.tokens,
                priority = job.priority,
            )
        val wait = context.limits.prefillWait(job.digest.tokens + progress.next)
        held += placed.prefillAddress
        val result =
            Tracing.hop("prefill") {
                context.caller.interruptible { ports.engines.prefill(placed.prefillAddress, request, wait) }
            }
        return when (result) {
            is EngineResult.Failed -> failedAtPrefill(result.failure)
            is EngineResult.Ok -> prefilled(result.value)
        }
    }

    private fun failedAtPrefill(failure: EngineFailure): AttemptResult {
        if (failure.ranNothing()) held -= placed.prefillAddress else progress.ran = true
        return context.prefillFailed(failure)
    }

    private fun prefilled(prefill: PrefillResult): AttemptResult {
        if (prefill.id != context.id) return failedAtPrefill(EngineFailure.Broken("the result of another attempt"))
        progress.prefilled(prefill)
        ports.placement.progress(placed.ticket, progress.next, prefillDone = true, prefill.cachedTokens)
        return context.blocked() ?: context.leaving() ?: import(prefill)
    }

    private fun import(prefill: PrefillResult): AttemptResult {
        val request =
            ImportRequest(
                id = context.id,
                holder = holder,
                ticket = placed.ticket,
                sourceAddress = placed.prefillAddress,
                kvHandle = prefill.kvHandle,
                priority = context.job.priority,
            )
        held += placed.decodeAddress
        val result =
            Tracing.hop("import") {
                val wait = context.limits.importMillis
                context.caller.interruptible { ports.engines.importKv(placed.decodeAddress, request, wait) }
            }
        return when (result) {
            is EngineResult.Failed -> failedAtImport(result.failure)
            is EngineResult.Ok -> decode(prefill)
        }
    }

    private fun failedAtImport(failure: EngineFailure): AttemptResult {
        if (failure.ranNothing()) held -= placed.decodeAddress
        return context.importFailed(failure)
    }

    private fun decode(prefill: PrefillResult): AttemptResult {
        // The import moved the KV cache, so the prefill replica holds nothing more.
        held -= placed.prefillAddress
        val result = Tracing.hop("decode") { DecodeStep(context, prefill.cachedTokens).run() }
        if (result is AttemptResult.Done && result.ended) held -= placed.decodeAddress
        return result
    }
}

/** Whether the engine did nothing for the request. */
internal fun EngineFailure.ranNothing(): Boolean = this is EngineFailure.Unreachable || this is EngineFailure.Refused
