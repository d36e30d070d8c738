package fireflyhinge.daemon.http

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import jakarta.servlet.http.HttpServletResponse
import org.apache.catalina.connector.ClientAbortException
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("fireflyhinge.daemon.http.ApiErrors")
private const val MILLIS = 1000

/** Header of an answer with the id of its request. */
const val REQUEST_ID_HEADER: String = "X-Request-Id"

private const val REQUEST_ID = "fireflyhinge.request_id"

/** Id of the request in [this] context; made at the first call. */
fun Context.requestId(): String = attribute<String>(REQUEST_ID) ?: newRequestId().also { attribute(REQUEST_ID, it) }

/** Answers with the numbered error of [failure], unless a part of another answer was sent. */
fun Context.fail(failure: Outcome.Failure) {
    if (res().isCommitted) return
    status(failure.code.httpStatus)
    failure.retryAfterMillis?.let { header("Retry-After", ((it + MILLIS - 1) / MILLIS).toString()) }
    contentType(JSON_TYPE)
    result(errorBody(failure.code, failure.detail, requestId()))
}

private fun HttpServletResponse.fail(code: ResultCode, id: String) {
    if (isCommitted) return
    resetBuffer()
    status = code.httpStatus
    contentType = JSON_TYPE
    outputStream.write(errorBody(code, requestId = id).toByteArray())
}

/** Gives unknown paths, wrong methods, unexpected exceptions and errors of an app their numbered error. */
fun JavalinConfig.useNumberedErrors() {
    startup.showJavalinBanner = false
    startup.startupWatcherEnabled = false
    http.prefer405over404 = true
    http.compressionStrategy = io.javalin.compression.CompressionStrategy.NONE
    routes.exception(HttpResponseException::class.java) { e, ctx ->
        ctx.fail(Outcome.Failure(codeOfStatus(e.status)))
    }
    routes.exception(ClientAbortException::class.java) { e, ctx ->
        log.debug("caller of request {} left: {}", ctx.requestId(), e.message)
    }
    // Javalin gives an Error, such as a StackOverflowError, to this handler alone.
    router.javaLangErrorHandler { response, e ->
        val id = response.getHeader(REQUEST_ID_HEADER) ?: newRequestId()
        log.error("request {} failed with an unexpected error", id, e)
        response.fail(ResultCode.INTERNAL, id)
    }
    routes.exception(Exception::class.java) { e, ctx ->
        log.error("request {} failed with an unexpected exception", ctx.requestId(), e)
        ctx.fail(Outcome.Failure(ResultCode.INTERNAL))
    }
}
