package fireflyhinge.standin.http

import com.fasterxml.jackson.module.kotlin.readValue
import fireflyhinge.Json
import io.javalin.http.Context
import io.javalin.http.HttpStatus

private const val HEXADECIMAL = 16

/** Answers with [body] as JSON. */
internal fun Context.reply(status: Int, body: Any) {
    // As bytes, because Javalin encodes text in the response's character set, which is not UTF-8 by default.
    status(status).contentType("application/json").result(Json.mapper.writeValueAsBytes(body))
}

/** Answers with an error object that gives [reason]. */
internal fun Context.refuse(status: Int, reason: String) = reply(status = status, body = mapOf("error" to reason))

/** Answers that the change was made. */
internal fun Context.done() {
    status(HttpStatus.NO_CONTENT)
}

/** Closes the connection; bytes that were not sent yet are dropped. */
internal fun Context.breakConnection() {
    (req().getAttribute(ConnectionValve.CLOSE_ATTRIBUTE) as Runnable).run()
    skipRemainingHandlers()
}

/** Number of the connection; Tomcat numbers connections in the order of their acceptance, in hexadecimal. */
internal fun Context.connectionNumber(): Long = req().servletConnection.connectionId.toLong(HEXADECIMAL)

/** Decodes the body as [T]. */
internal inline fun <reified T> Context.decodeBody(): T = Json.mapper.readValue(bodyAsBytes())

/** Whether the path belongs to the fault control, which is exempt from faults. */
internal fun Context.isControl(): Boolean = path().startsWith("/control/")
