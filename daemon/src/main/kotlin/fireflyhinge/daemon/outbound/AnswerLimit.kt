package fireflyhinge.daemon.outbound

import okhttp3.Interceptor
import okhttp3.Response

/** Bounds the bytes of each answer on an [AnswerSocket] for a body of at most [bodyBytes]. */
internal class AnswerLimit(bodyBytes: Long) : Interceptor {
    private val bytes = HEAD_BYTES + FRAMING_FACTOR * bodyBytes

    override fun intercept(chain: Interceptor.Chain): Response {
        (chain.connection()?.socket() as? AnswerSocket)?.expectAnswer(bytes)
        return chain.proceed(chain.request())
    }

    private companion object {
        /** OkHttp's own limit of a head. */
        const val HEAD_BYTES = 262_144L

        /** Bytes of a body in chunks of at least six bytes, as a multiple of its length. */
        const val FRAMING_FACTOR = 2
    }
}
