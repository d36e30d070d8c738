package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.CallKind
import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.gateway.http.AnswerWriter
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.ErrorAnswer
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Takes each request of a caller through admission, charge and forwarding, and writes the answer. */
internal class Forwarder(
    private val config: () -> ForwardConfig?,
    private val callers: CallerProtocol,
    private val replicas: ReplicaProtocol,
    private val steps: ForwardPipeline,
    private val requestLog: RequestLog,
) : RequestHandler {
    private class Progress(var context: RequestContext? = null)

    @Suppress("TooGenericExceptionCaught") // Only here it is known whether the request may have run.
    override suspend fun handle(request: CallerRequest, answer: AnswerWriter) {
        val progress = Progress()
        try {
            admit(request, progress, answer)
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            throw e
        } catch (e: Throwable) {
            unexpected(request, progress.context, e, answer)
        }
    }

    private suspend fun unexpected(
        request: CallerRequest,
        context: RequestContext?,
        cause: Throwable,
        answer: AnswerWriter,
    ) {
        val ran = context?.mayHaveRun == true
        val code = if (ran) ResultCode.INTERNAL else ResultCode.INTERNAL_NOT_RUN
        requestLog.failed(request, context, code, cause)
        if (answer.started) return answer.abort()
        val retryAfter = if (ran) null else COME_BACK_MILLIS
        write(Outcome.Failure(code, retryAfterMillis = retryAfter), context?.metadata?.requestId, answer)
    }

    private suspend fun admit(request: CallerRequest, progress: Progress, answer: AnswerWriter) {
        val metadata =
            when (val read = callers.metadata(request.headers)) {
                is Outcome.Failure -> return refuse(request, null, read, answer)
                is Outcome.Success -> read.value
            }
        val current = config()
        if (current == null) {
            val failure = Outcome.Failure(ResultCode.CONFIGURATION_UNKNOWN, retryAfterMillis = NO_CONFIG_MILLIS)
            return refuse(request, metadata, failure, answer)
        }
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty()
        when (val admitted = Admission.of(current, host, request.uri, metadata)) {
            is Outcome.Failure -> refuse(request, metadata, admitted, answer)
            is Outcome.Success -> {
                val context = RequestContext.of(request, metadata, admitted.value).also { progress.context = it }
                charged(context, answer)
            }
        }
    }

    private suspend fun charged(context: RequestContext, answer: AnswerWriter) {
        val admission = context.admission
        val cost = context.cost
        val patience = admission.route.objectiveMillis / QUOTA_WAIT_PARTS
        val wait = admission.workspace?.let { steps.quota.charge(it, cost, patience) }
        if (wait != null) {
            val failure = Outcome.Failure(ResultCode.RATE_EXCEEDED, retryAfterMillis = wait)
            requestLog.ended(context, failure.code.label)
            return write(failure, context.metadata.requestId, answer)
        }
        try {
            forward(context, answer)
        } catch (e: CancellationException) {
            requestLog.ended(context, "caller left")
            throw e
        } finally {
            if (!context.mayHaveRun) admission.workspace?.let { steps.quota.giveBack(it, cost) }
        }
    }

    private suspend fun forward(context: RequestContext, answer: AnswerWriter) {
        val result =
            withTimeoutOrNull(maxOf(1, context.remaining)) {
                if (context.admission.route.kind == CallKind.STREAM) {
                    steps.streams.run(context, answer)
                } else {
                    steps.plain.run(context)
                }
            }
        when (result) {
            is ForwardResult.Response -> {
                if (FailureMapper.promisesTooMuch(result, context)) {
                    val failure = Outcome.Failure(ResultCode.UPSTREAM_FAILED, "status ${result.status}")
                    return fail(context, failure, answer)
                }
                requestLog.ended(context, result.status.toString())
                answer.whole(result.status, replicas.toCaller(result.headers), result.body)
            }
            ForwardResult.Streamed -> requestLog.ended(context, "streamed")
            is ForwardResult.Interrupted -> breakOff(context, answer, result.reason)
            is ForwardResult.Failed -> fail(context, FailureMapper.truthful(result.failure, context), answer)
            null -> timeOver(context, answer)
        }
    }

    private suspend fun timeOver(context: RequestContext, answer: AnswerWriter) =
        if (answer.started) {
            breakOff(context, answer, "time over")
        } else {
            fail(context, FailureMapper.late(context), answer)
        }

    private fun breakOff(context: RequestContext, answer: AnswerWriter, reason: String) {
        requestLog.ended(context, "broken off: $reason")
        answer.abort()
    }

    private suspend fun fail(context: RequestContext, failure: Outcome.Failure, answer: AnswerWriter) {
        requestLog.ended(context, failure.code.label)
        write(failure, context.metadata.requestId, answer)
    }

    private suspend fun refuse(
        request: CallerRequest,
        metadata: RequestMetadata?,
        failure: Outcome.Failure,
        answer: AnswerWriter,
    ) {
        requestLog.refused(request, metadata, failure, config()?.version)
        write(failure, metadata?.requestId, answer)
    }

    private suspend fun write(failure: Outcome.Failure, requestId: String?, answer: AnswerWriter) {
        val error = ErrorAnswer.of(failure.code, failure.detail, requestId, failure.retryAfterMillis)
        answer.whole(failure.code.httpStatus, error.headers, error.body)
    }

    private companion object {
        /** A VM that starts has the configuration within about this time. */
        const val NO_CONFIG_MILLIS = 500L

        /** A request that failed before it was sent may do better at once, at another VM. */
        const val COME_BACK_MILLIS = 100L

        /** A request waits for tokens for its objective divided by this; a refusal should not come later. */
        const val QUOTA_WAIT_PARTS = 8
    }
}
