package fireflyhinge.daemon.caller

import fireflyhinge.auth.Access
import fireflyhinge.auth.Authorizer
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.daemon.http.BodyReader
import fireflyhinge.daemon.http.fail
import fireflyhinge.daemon.http.requestId
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.flatMap
import fireflyhinge.result.map
import fireflyhinge.time.millis
import fireflyhinge.tokens.PromptDigest
import io.javalin.http.Context
import io.javalin.http.Handler
import org.slf4j.MDC

/** `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val ports: CallerPorts,
    private val pipeline: ModelPipeline,
    private val bodies: BodyReader,
    private val departures: DepartureWatch,
    private val metrics: CallerMetrics,
) : Handler {
    override fun handle(ctx: Context) {
        val arrived = ports.clock.millis()
        when (val checked = check(ctx, arrived)) {
            is Outcome.Failure -> refuse(ctx, checked)
            is Outcome.Success -> serve(ctx, checked.value)
        }
    }

    private fun check(ctx: Context, arrived: Long): Outcome<ModelJob> {
        val key = Authorizer.keyOf(ctx.header("Authorization"))
        val isolated = ports.membership.isolated()
        val snapshot = ports.config.current()
        // Without a key, only open routes can be used; the body need not be read if there is none.
        if (key == null && snapshot.routes.values.none { it.open && it.kind == RouteKind.MODEL }) {
            return Outcome.Failure(ResultCode.KEY_ABSENT)
        }
        return bodies.read(ctx).flatMap { body ->
            val identity = if (key == null) Outcome.Success(Unit) else Authorizer.identify(snapshot, key, isolated)
            identity.flatMap { ChatRequestParser.parse(body) }
        }.flatMap { chat ->
            withoutKey(chat, key)
        }.flatMap { chat ->
            Authorizer
                .authorize(snapshot, chat.model, RouteKind.MODEL, key, isolated)
                .map { job(ctx.requestId(), it, chat, arrived) }
        }
    }

    /** Engines are upstreams, and no upstream may see a key. */
    private fun withoutKey(chat: ChatRequest, key: String?): Outcome<ChatRequest> {
        val at = chat.messages.indexOfFirst { key != null && key in it.content }
        if (at < 0) return Outcome.Success(chat)
        return Outcome.Failure(ResultCode.INVALID_PARAMETER, "messages[$at].content: contains the API key.")
    }

    private fun job(requestId: String, access: Pair<Access, Route>, chat: ChatRequest, arrived: Long): ModelJob {
        val digest = PromptDigest.of(access.first.scope, chat.model, chat.messages, ports.tokens)
        return ModelJob(requestId, access.first, access.second, chat, digest, arrived)
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
        val result = pipeline.run(job, caller, timed(job, answer))
        count(result, job)
        when (result) {
            is ModelResult.Answered -> answer.end(result)
            is ModelResult.Failed -> if (answer.started) answer.interrupt(result.failure) else ctx.fail(result.failure)
            ModelResult.Departed -> Unit
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
            ModelResult.Departed -> Unit
        }
    }

    private fun timed(job: ModelJob, sink: AnswerSink): AnswerSink {
        var first = true
        return AnswerSink { token ->
            if (first) metrics.firstToken(ports.clock.millis() - job.arrivedMillis)
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
        const val MILLIS_PER_SECOND = 1000L
    }
}
