package fireflyhinge.gateway.http

import fireflyhinge.result.ResultCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import org.slf4j.LoggerFactory
import java.io.IOException

/** Passes requests to [handler]. If the handler fails, the caller gets an error or a visibly incomplete response. */
internal class RequestDispatcher(private val handler: RequestHandler) {
    /** Handles [request]; throws only if its caller disconnected, which cancels the coroutine. */
    @Suppress("TooGenericExceptionCaught") // Whatever the handler throws, the request gets a response.
    suspend fun dispatch(request: CallerRequest, writer: ChannelResponseWriter) {
        try {
            handler.handle(request, writer)
        } catch (e: CancellationException) {
            if (!currentCoroutineContext().isActive) throw e
            respondWithError(request, writer, e)
        } catch (e: IOException) {
            if (writer.open) {
                respondWithError(request, writer, e)
            } else {
                log.debug("response to {} could not be written: {}", request.uri, e.message)
            }
        } catch (e: Throwable) {
            respondWithError(request, writer, e)
        }
    }

    private suspend fun respondWithError(request: CallerRequest, writer: ChannelResponseWriter, cause: Throwable) {
        log.atError().addKeyValue("uri", request.uri).addKeyValue("begun", writer.started).setCause(cause)
            .log("a request failed unexpectedly")
        if (writer.complete) return
        if (writer.started) return writer.abort()
        val error = ErrorResponse.of(ResultCode.INTERNAL, detail = "", requestId = null)
        try {
            writer.respond(ResultCode.INTERNAL.httpStatus, error.headers, error.body)
        } catch (e: IOException) {
            log.debug("error response to {} could not be written: {}", request.uri, e.message)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(RequestDispatcher::class.java)
    }
}
