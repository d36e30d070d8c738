package fireflyhinge.daemon.http

import fireflyhinge.result.ResultCode
import org.apache.catalina.connector.Request
import org.apache.catalina.connector.Response
import org.apache.catalina.valves.ErrorReportValve

/** Writes the numbered JSON error for faults that Tomcat finds before the servlet gets the request. */
class JsonErrorValve : ErrorReportValve() {
    override fun report(request: Request, response: Response, throwable: Throwable?) {
        val empty = response.contentWritten == 0L && !response.isCommitted
        if (response.status < FIRST_ERROR || !empty || !response.setErrorReported()) return
        writeError(response, codeOf(response.status, throwable))
    }

    private fun codeOf(status: Int, fault: Throwable?): ResultCode =
        if (fault?.message.orEmpty().contains("header is too large", ignoreCase = true)) {
            ResultCode.HEADERS_TOO_LARGE
        } else {
            codeOfStatus(status)
        }

    private companion object {
        const val FIRST_ERROR = 400
    }
}
