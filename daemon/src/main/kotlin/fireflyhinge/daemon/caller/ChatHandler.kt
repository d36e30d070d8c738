package fireflyhinge.daemon.caller

import fireflyhinge.daemon.http.fail
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import io.javalin.http.Context
import io.javalin.http.Handler
import org.slf4j.MDC

/** `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val reader: ModelJobReader,
    private val pipeline: ModelPipeline,
    private val clock: MonotonicClock,
    private val departures: DepartureWatch,
    private val metrics: CallerMetrics,
) : Handler {
    override fun handle(ctx: Context) {
        when (val read = reader.read(ctx, arrivedMillis = clock.millis())) {
            is Outcome.Failure -> refuse(ctx, read)
            is Outcome.Success -> serve(ctx, read.value)
        }
    }

    private fun serve(ctx: Context, job: ModelJob) {
        MDC.put("workspace", job.access.scope)
        val head = AnswerHead(job.requestId, job.chat.model, created = System.currentTimeMillis() / MILLIS_PER_SECOND)
        departures.watching(ctx.req()) { caller ->
            if (job.chat.stream) stream(ctx, job, caller, head) else whole(ctx, job, caller, head)
        }
    }

    private fun stream(ctx: Context, job: ModelJob, caller: CallerLink, head: AnswerHead) {
        val answer = StreamedAnswer(ctx.res(), head)
        var result: ModelResult? = null
        try {
            result = pipeline.run(job, caller, timed(job, answer))
        } finally {
            if (result == null && answer.started) answer.interrupt(Outcome.Failure(ResultCode.INTERNAL))
        }
        count(result, job)
        when (result) {
            is ModelResult.Answered -> answer.end(result)
            is ModelResult.Failed -> interrupt(ctx, answer, result.failure)
            ModelResult.Departed -> interrupt(ctx, answer, left)
        }
    }

    private fun whole(ctx: Context, job: ModelJob, caller: CallerLink, head: AnswerHead) {
        val text = StringBuilder()
        val sink = AnswerSink { token -> true.also { text.append(token) } }
        val result = pipeline.run(job, caller, timed(job, sink))
        count(result, job)
        when (result) {
            is ModelResult.Answered -> ctx.json(head.whole(text.toString(), result))
            is ModelResult.Failed -> ctx.fail(result.failure)
            ModelResult.Departed -> ctx.fail(left)
        }
    }

    private fun interrupt(ctx: Context, answer: StreamedAnswer, failure: Outcome.Failure) =
        if (answer.started) answer.interrupt(failure) else ctx.fail(failure)

    private fun timed(job: ModelJob, sink: AnswerSink): AnswerSink {
        var first = true
        return AnswerSink { token ->
            if (first) metrics.firstToken(clock.millis() - job.arrivedMillis)
            first = false
            sink.token(token)
        }
    }

    private fun refuse(ctx: Context, failure: Outcome.Failure) {
        metrics.request(KIND, failure.code.label)
        ctx.fail(failure)
    }

    private fun count(result: ModelResult, job: ModelJob) {
        when (result) {
            is ModelResult.Failed -> metrics.request(KIND, result.failure.code.label)
            ModelResult.Departed -> metrics.request(KIND, "GONE")
            is ModelResult.Answered -> {
                metrics.request(KIND, "OK")
                metrics.tokens(job.access.scope, result.promptTokens, result.completionTokens)
            }
        }
    }

    private companion object {
        const val KIND = "model"

        // A caller that closed only its sending side still reads, and must not take an empty answer for a whole one.
        val left = Outcome.Failure(ResultCode.CALLER_LEFT)
        const val MILLIS_PER_SECOND = 1000L
    }
}
