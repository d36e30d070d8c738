package fireflyhinge.daemon.http

import fireflyhinge.result.ResultCode
import org.apache.catalina.connector.Request
import org.apache.catalina.connector.Response
import org.apache.catalina.valves.ValveBase
import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts requests in flight, announces the close of a draining listener on every answer, and refuses requests beyond
 * [limit]. The threads above the limit answer the refusals, which would otherwise wait unseen for a thread.
 */
internal class RequestActivity(private val limit: Int) : ValveBase(true) {
    private val count = AtomicInteger()

    @Volatile
    private var announced = false

    val inFlight: Int get() = count.get()

    val draining: Boolean get() = announced

    fun drain() {
        announced = true
    }

    override fun invoke(request: Request, response: Response) {
        val now = count.incrementAndGet()
        try {
            if (announced) response.setHeader("Connection", "close")
            if (now <= limit) getNext().invoke(request, response) else writeError(response, TOO_MANY)
        } finally {
            count.decrementAndGet()
        }
    }

    private companion object {
        val TOO_MANY = ResultCode.CAPACITY_EXHAUSTED
    }
}

/** Answers with [code] outside of any servlet. */
internal fun writeError(response: Response, code: ResultCode) {
    response.status = code.httpStatus
    response.contentType = JSON_TYPE
    response.reporter?.write(errorBody(code, requestId = newRequestId()))
    response.finishResponse()
}
