package fireflyhinge.daemon.service

import fireflyhinge.daemon.fake.RawServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class ServiceAnswerTest {
    private val client = OkHttpServiceClient(ServiceLimits(silenceMillis = 2_000))
    private val request = ServiceRequest("POST", "/orders", query = null, headers = emptyList(), body = ByteArray(1))

    private fun answered(bytes: String): SendResult =
        RawServer { _, _, out -> false.also { out.write(bytes.toByteArray()) } }
            .use { client.send(it.address, request, caller = null) }

    /** Guards against an answer that is cut, or no HTTP answer, and reaches a caller as the outcome of its order. */
    @TestFactory
    fun onlyAnAnswerWithAClearLengthIsPassedOn(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" to true,
            "HTTP/1.0 200 OK\r\n\r\nok" to true,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" to true,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok" to true,
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent-Length: 1O\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" to false,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" to false,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" to false,
            "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n\r\nok" to false,
            "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok" to false,
            "HTTP/1.1 -12 OK\r\nContent-Length: 2\r\n\r\nok" to false,
            "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok" to false,
            "HTTP/1.1 101 OK\r\n\r\nok" to false,
            "ICY 200 OK\r\nContent-Length: 2\r\n\r\nok" to false,
            "ok" to false,
        ).map { (bytes, whole) ->
            DynamicTest.dynamicTest(bytes.lines().take(3).joinToString(separator = "|")) {
                val result = answered(bytes)
                if (whole) {
                    assertEquals("ok", String((result as SendResult.Answered).answer.body))
                } else {
                    assertInstanceOf(SendResult.Lost::class.java, result)
                }
            }
        }

    /** Guards against an answer that ends inside its head and reaches a caller as a whole one. */
    @TestFactory
    fun anAnswerThatEndsInsideItsHeadIsLost(): List<DynamicTest> =
        listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Stamp: s\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.0 200 OK\r\nX-Stamp: s\r\n\r\n",
        ).map { head ->
            DynamicTest.dynamicTest(head.lines().take(2).joinToString(separator = "|")) {
                val passedOn = head.indices.filterNot { answered(head.take(it)) is SendResult.Lost }
                assertEquals(emptyList<Int>(), passedOn)
            }
        }
}
