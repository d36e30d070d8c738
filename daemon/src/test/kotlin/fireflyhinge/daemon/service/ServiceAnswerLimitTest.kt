package fireflyhinge.daemon.service

import fireflyhinge.daemon.fake.RawServer
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream

class ServiceAnswerLimitTest {
    private val limits = ServiceLimits(silenceMillis = 2_000, totalMillis = 20_000, answerBytes = SIZE)
    private val client = OkHttpServiceClient(limits)
    private val request = ServiceRequest("POST", "/orders", query = null, headers = emptyList(), body = ByteArray(1))

    private fun send(answer: RawServer.(OutputStream) -> Unit): Pair<SendResult, Long> {
        lateinit var server: RawServer
        server = RawServer { _, _, out -> false.also { server.answer(out) } }
        return server.use { client.send(it.address, request, caller = null) to it.taken.get() }
    }

    /** Guards against memory that an upstream fills with bytes without end. */
    @TestFactory
    fun bytesWithoutEndAreGivenUp(): List<DynamicTest> =
        listOf(
            Triple("status line", "HTTP/1.1 200 ", "x"),
            Triple("field", "HTTP/1.1 200 OK\r\nX: ", "x"),
            Triple("fields", "HTTP/1.1 200 OK\r\n", "X: 1\r\n"),
            Triple("interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Triple("body", "HTTP/1.1 200 OK\r\n\r\n", "x"),
            Triple("chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
            Triple("chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "x"),
            Triple("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: 1\r\n"),
        ).map { (part, head, piece) ->
            DynamicTest.dynamicTest(part) {
                val (result, taken) = send { endless(it, head = head, piece = piece) }
                assertTrue(result is SendResult.Lost || result is SendResult.TooLarge, "$result")
                assertTrue(taken < SOCKET_BUFFERS + 8 * SIZE, "$taken bytes were taken")
            }
        }

    private companion object {
        const val SIZE = 1_000_000L

        /** More than what the buffers of two sockets hold. */
        const val SOCKET_BUFFERS = 20_000_000L
    }
}
