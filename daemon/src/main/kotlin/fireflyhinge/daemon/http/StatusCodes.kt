package fireflyhinge.daemon.http

import fireflyhinge.result.ResultCode
import io.javalin.http.HttpStatus

private val codes =
    mapOf(
        HttpStatus.NOT_FOUND to ResultCode.NOT_FOUND,
        HttpStatus.METHOD_NOT_ALLOWED to ResultCode.METHOD_NOT_ALLOWED,
        HttpStatus.REQUEST_TIMEOUT to ResultCode.BODY_TIMEOUT,
        HttpStatus.CONTENT_TOO_LARGE to ResultCode.BODY_TOO_LARGE,
        HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE to ResultCode.HEADERS_TOO_LARGE,
        // Tomcat's answers to an unknown transfer coding and an unknown HTTP version.
        HttpStatus.NOT_IMPLEMENTED to ResultCode.MALFORMED_REQUEST,
        HttpStatus.HTTP_VERSION_NOT_SUPPORTED to ResultCode.MALFORMED_REQUEST,
    ).mapKeys { it.key.code }

/** The numbered code of an error that Tomcat or Javalin found and gave only an HTTP [status]. */
internal fun codeOfStatus(status: Int): ResultCode {
    val fallback =
        if (status < HttpStatus.INTERNAL_SERVER_ERROR.code) ResultCode.MALFORMED_REQUEST else ResultCode.INTERNAL
    return codes[status] ?: fallback
}
