package fireflyhinge.daemon.http

import fireflyhinge.Json
import fireflyhinge.result.ResultCode
import io.javalin.http.HttpStatus
import java.security.SecureRandom

/** Content type of JSON answers. */
const val JSON_TYPE: String = "application/json;charset=utf-8"

private val random = SecureRandom()
private const val ID_BYTES = 16

/** JSON text of the error body for [code]; [detail] names the value at fault and never contains a key. */
fun errorBody(code: ResultCode, detail: String = "", requestId: String = ""): String {
    val message = if (detail.isEmpty()) code.text else "${code.text} $detail"
    val error =
        linkedMapOf(
            "code" to code.label,
            "message" to message,
            "type" to typeOf(code),
            "run" to code.run.wireName,
            "request_id" to requestId,
        )
    return Json.encode(mapOf("error" to error))
}

/** A request id that is unique over the fleet: 128 random bits in hexadecimal. */
fun newRequestId(): String =
    ByteArray(ID_BYTES).also(random::nextBytes).joinToString("") { "%02x".format(it) }

private fun typeOf(code: ResultCode): String =
    when {
        code.httpStatus == HttpStatus.UNAUTHORIZED.code -> "authentication_error"
        code.httpStatus == HttpStatus.FORBIDDEN.code -> "permission_error"
        code.httpStatus == HttpStatus.TOO_MANY_REQUESTS.code -> "rate_limit_error"
        code.httpStatus < HttpStatus.INTERNAL_SERVER_ERROR.code -> "invalid_request_error"
        else -> "server_error"
    }
