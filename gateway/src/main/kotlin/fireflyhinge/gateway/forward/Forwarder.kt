package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.CallKind
import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.ErrorResponse
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.SlowCallerException
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** Admits, charges and forwards each caller's request, and writes the response. */
internal class Forwarder(
    private val config: () -> ForwardConfig?,
    private val callers: CallerProtocol,
    private val replicas: ReplicaProtocol,
    private val pipeline: ForwardPipeline,
    private val requestLog: RequestLog,
    private val stop: PlannedStop,
) : RequestHandler {
    private class Progress(var context: RequestContext? = null)

    @Suppress("TooGenericExceptionCaught") // Only this class knows whether the request may have run.
    override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
        val progress = Progress()
        try {
            admit(request, progress, response)
        } catch (e: CancellationException) {
            cancelled(progress.context, e, response)
            throw e
        } catch (e: IOException) {
            throw e
        } catch (e: Throwable) {
            unexpected(request, progress.context, e, response)
        }
    }

    /** Ends a request that was cancelled: its caller left, or the VM stops and the request still gets a response. */
    private suspend fun cancelled(context: RequestContext?, cause: CancellationException, response: ResponseWriter) {
        if (context == null) return
        val outcome = if (cause is SlowCallerException) "broken off: caller does not read" else "caller left"
        if (!stop.ended || cause is SlowCallerException) return requestLog.ended(context, outcome)
        withContext(NonCancellable) { endEarly(context, "the VM stops", FailureMapper.stopped(context), response) }
    }

    private suspend fun unexpected(
        request: CallerRequest,
        context: RequestContext?,
        cause: Throwable,
        response: ResponseWriter,
    ) {
        val ran = context?.mayHaveRun == true
        val code = if (ran) ResultCode.INTERNAL else ResultCode.INTERNAL_NOT_RUN
        requestLog.failed(request, context, code, cause)
        if (response.started) return response.abort()
        val retryAfter = if (ran) null else RETRY_AFTER_MILLIS
        write(Outcome.Failure(code, retryAfterMillis = retryAfter), context?.metadata?.requestId, response)
    }

    private suspend fun admit(request: CallerRequest, progress: Progress, response: ResponseWriter) {
        val metadata =
            when (val read = callers.metadata(request.headers)) {
                is Outcome.Failure -> return refuse(request, null, read, response)
                is Outcome.Success -> read.value
            }
        val current = config()
        if (current == null) {
            val failure =
                Outcome.Failure(ResultCode.CONFIGURATION_UNKNOWN, retryAfterMillis = NO_CONFIG_RETRY_AFTER_MILLIS)
            return refuse(request, metadata, failure, response)
        }
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty()
        when (val admitted = Admission.of(current, host, request.uri, metadata)) {
            is Outcome.Failure -> refuse(request, metadata, admitted, response)
            is Outcome.Success -> {
                val context = RequestContext.of(request, metadata, admitted.value).also { progress.context = it }
                val refusal = pipeline.guard.refusal(context) ?: stop.refusal(context)
                if (refusal != null) return fail(context, refusal, response)
                chargeAndForward(context, response)
                stop.recordEnd(context)
            }
        }
    }

    private suspend fun chargeAndForward(context: RequestContext, response: ResponseWriter) {
        val admission = context.admission
        val cost = context.cost
        val timeout = admission.route.objectiveMillis / QUOTA_WAIT_DIVISOR
        val refusal = admission.workspace?.let { pipeline.quota.charge(it, cost, timeout) }
        if (refusal != null) {
            val code = if (refusal.overLimit) ResultCode.RATE_EXCEEDED else ResultCode.RATE_NOT_KNOWN
            val failure = Outcome.Failure(code, retryAfterMillis = refusal.retryAfterMillis)
            requestLog.ended(context, failure.code.label)
            return write(failure, context.metadata.requestId, response)
        }
        try {
            forward(context, response)
        } finally {
            if (!context.mayHaveRun) admission.workspace?.let { pipeline.quota.refund(it, cost) }
        }
    }

    private suspend fun forward(context: RequestContext, response: ResponseWriter) {
        val result =
            withTimeoutOrNull(maxOf(1, context.remainingMillis)) {
                pipeline.guard.forward(context, response) {
                    if (context.admission.route.kind == CallKind.STREAM) {
                        pipeline.streams.run(context, response)
                    } else {
                        pipeline.plain.run(context)
                    }
                }
            }
        when (result) {
            is ForwardResult.Response -> {
                if (FailureMapper.wronglyClaimsNotRun(result, context)) {
                    val failure = Outcome.Failure(ResultCode.UPSTREAM_FAILED, "status ${result.status}")
                    return fail(context, failure, response)
                }
                requestLog.ended(context, result.status.toString())
                response.respond(result.status, replicas.toCaller(result.headers), result.body)
            }
            ForwardResult.Streamed -> requestLog.ended(context, "streamed")
            is ForwardResult.Interrupted ->
                endEarly(context, result.reason, Outcome.Failure(ResultCode.ANSWER_INTERRUPTED), response)
            is ForwardResult.Failed -> fail(context, FailureMapper.forCaller(result.failure, context), response)
            null -> endEarly(context, "deadline exceeded", FailureMapper.timedOut(context), response)
        }
    }

    /** Breaks off a response that has begun, which its caller detects, or sends [failure] as the response. */
    private suspend fun endEarly(
        context: RequestContext,
        reason: String,
        failure: Outcome.Failure,
        response: ResponseWriter,
    ) {
        if (response.complete) return requestLog.ended(context, "streamed")
        if (!response.started) return fail(context, failure, response)
        requestLog.ended(context, "broken off: $reason")
        response.abort()
    }

    private suspend fun fail(context: RequestContext, failure: Outcome.Failure, response: ResponseWriter) {
        requestLog.ended(context, failure.code.label)
        write(failure, context.metadata.requestId, response)
    }

    private suspend fun refuse(
        request: CallerRequest,
        metadata: RequestMetadata?,
        failure: Outcome.Failure,
        response: ResponseWriter,
    ) {
        requestLog.refused(request, metadata, failure, config()?.version)
        write(failure, metadata?.requestId, response)
    }

    private suspend fun write(failure: Outcome.Failure, requestId: String?, response: ResponseWriter) {
        val error = ErrorResponse.of(failure.code, failure.detail, requestId, failure.retryAfterMillis)
        response.respond(failure.code.httpStatus, error.headers, error.body)
    }

    private companion object {
        /** A starting VM reads the configuration within about this time. */
        const val NO_CONFIG_RETRY_AFTER_MILLIS = 500L

        /** A request that failed before it was sent may succeed at once on another VM. */
        const val RETRY_AFTER_MILLIS = 100L

        /** The longest wait for tokens is the latency objective divided by this, so that a refusal comes early. */
        const val QUOTA_WAIT_DIVISOR = 8
    }
}
