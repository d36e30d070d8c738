package fireflyhinge.daemon.caller

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult

/** The decode of one attempt: hands tokens to the caller in index order. Used by one thread, once. */
internal class DecodeStep(private val context: AttemptContext, private val cachedTokens: Int) {
    private val progress = context.progress
    private val placed = context.placed
    private var stop: AttemptResult? = null

    /** Streams until the end, a failure, or a reason to stop. */
    fun run(): AttemptResult {
        val request =
            DecodeRequest(id = context.id, maxTokens = context.job.chat.maxTokens, firstIndex = progress.next)
        val engines = context.ports.engines
        val result =
            context.caller.interruptible {
                engines.decode(placed.decodeAddress, request, context.limits.progressMillis, ::take)
            }
        return stop ?: when (result) {
            is EngineResult.Failed -> broken(result.failure)
            is EngineResult.Ok -> finished(result.value)
        }
    }

    private fun take(event: DecodeEvent): Boolean {
        if (event is DecodeEvent.Token && stop == null) stop = context.blocked() ?: deliver(event)
        return stop == null
    }

    private fun deliver(token: DecodeEvent.Token): AttemptResult? =
        when (progress.accept(token, context.id)) {
            Delivery.SENT -> {
                context.ports.placement.progress(placed.ticket, progress.next, prefillDone = true, cachedTokens)
                null
            }
            Delivery.DROPPED -> null
            Delivery.GAP -> incomplete("token ${progress.next} is missing")
            Delivery.CALLER_GONE -> AttemptResult.Departed
        }

    private fun finished(end: DecodeEvent.End): AttemptResult =
        when {
            end.id != context.id -> incomplete("the end of another attempt arrived")
            end.tokens != progress.next -> incomplete("the end counts ${end.tokens} tokens, not ${progress.next}")
            else -> AttemptResult.Done(end.finishReason, ended = true)
        }

    private fun broken(failure: EngineFailure): AttemptResult {
        // All tokens that were asked for have arrived; only the end marker is missing, and its content is known.
        if (progress.next >= context.job.chat.maxTokens) return AttemptResult.Done("length", ended = false)
        return context.decodeFailed(failure)
    }

    private fun incomplete(reason: String): AttemptResult = context.decodeFailed(EngineFailure.Broken(reason))
}
