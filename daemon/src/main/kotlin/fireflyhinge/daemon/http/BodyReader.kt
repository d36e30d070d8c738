package fireflyhinge.daemon.http

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.javalin.http.Context
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.SocketTimeoutException

/** Reads request bodies within the size and time of [limits]. */
class BodyReader(private val limits: HttpLimits) {
    /** The whole body, or the numbered reason why it cannot be had. */
    fun read(ctx: Context): Outcome<ByteArray> {
        if (ctx.req().contentLengthLong > limits.bodyBytes) return tooLarge()
        return try {
            readAll(ctx)
        } catch (e: SocketTimeoutException) {
            Outcome.Failure(ResultCode.BODY_TIMEOUT, detail = e.message.orEmpty())
        } catch (e: IOException) {
            // A chunk with a malformed size, or a body that ends before its announced length.
            Outcome.Failure(ResultCode.MALFORMED_REQUEST, detail = e.message.orEmpty())
        }
    }

    private fun readAll(ctx: Context): Outcome<ByteArray> {
        val deadline = System.nanoTime() + limits.bodyMillis * NANOS_PER_MILLI
        val body = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        val input = ctx.req().inputStream
        while (true) {
            val n = input.read(buffer)
            if (n < 0) return Outcome.Success(body.toByteArray())
            body.write(buffer, 0, n)
            if (body.size() > limits.bodyBytes) return tooLarge()
            if (System.nanoTime() > deadline) return Outcome.Failure(ResultCode.BODY_TIMEOUT)
        }
    }

    private fun tooLarge() = Outcome.Failure(ResultCode.BODY_TOO_LARGE, detail = "Limit: ${limits.bodyBytes} bytes.")

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
