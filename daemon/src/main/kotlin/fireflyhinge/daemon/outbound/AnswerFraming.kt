package fireflyhinge.daemon.outbound

import okhttp3.Headers
import okhttp3.Interceptor
import okhttp3.Response
import java.io.IOException
import java.net.ProtocolException

/**
 * Fails calls whose answer is malformed or whose end is not clear (RFC 9112, section 6.3). OkHttp reads an answer with
 * an unreadable length until the connection closes, and takes the last of several lengths.
 */
internal object AnswerFraming : Interceptor {
    private const val CONTENT_LENGTH = "Content-Length"
    private const val TRANSFER_ENCODING = "Transfer-Encoding"
    private val finalStatuses = 200..599
    private val token = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+")

    // Longer numbers do not fit into 64 bits.
    private val length = Regex("[0-9]{1,18}")

    override fun intercept(chain: Interceptor.Chain): Response {
        val response =
            try {
                chain.proceed(chain.request())
            } catch (e: IllegalStateException) {
                // OkHttp throws this for a negative status.
                throw IOException("malformed answer", e)
            }
        faultOf(response)?.let { throw ProtocolException("malformed answer: $it") }
        return response
    }

    private fun faultOf(response: Response): String? =
        when {
            response.code !in finalStatuses -> "status ${response.code}"
            response.headers.names().any { !token.matches(it) } -> "a line of the head is no field"
            else -> framingFault(response.headers)
        }

    private fun framingFault(headers: Headers): String? {
        val lengths = headers.values(CONTENT_LENGTH).toSet()
        val codings = headers.values(TRANSFER_ENCODING)
        return when {
            codings.isNotEmpty() && lengths.isNotEmpty() -> "two kinds of length"
            codings.isNotEmpty() && !codings.singleOrNull().equals("chunked", ignoreCase = true) -> "coding $codings"
            lengths.size > 1 || lengths.any { !length.matches(it) } -> "length $lengths"
            else -> null
        }
    }
}
