package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CompletableDeferred
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

class CallerReadingTest {
    private val io = IoLoop()
    private val release = CompletableDeferred<Unit>()

    @Volatile
    private var limits = CallerLimits()

    @AfterEach
    fun stop() = io.close()

    private fun listen(): HttpListener {
        val handler =
            object : RequestHandler {
                override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
                    if (request.uri == "/slow") release.await()
                    if (request.uri != "/stream") return response.respond(OK, DefaultHttpHeaders(), request.body)
                    response.start(OK, DefaultHttpHeaders())
                    response.write("part".toByteArray())
                    release.await()
                    response.finish()
                }
            }
        return HttpListener(io, InetSocketAddress("127.0.0.1", 0), { limits }, handler).start()
    }

    private fun statuses(responses: String) =
        Regex("HTTP/1.1 (\\d+)").findAll(responses).map { it.groupValues[1] }.toList()

    /** Guards against a connection that is rejected or closed because of an empty line before a request. */
    @Test
    fun emptyLineBetweenRequestsStartsNoRequest() {
        limits = CallerLimits(headerMillis = 100)
        val listener = listen()
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/1"))
            caller.next(EMPTY_RESPONSE)
            caller.send("\r\n")
            Thread.sleep(TWO_SWEEPS_MILLIS)
            assertEquals(0, listener.inFlight)
            caller.send("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n")
            assertEquals(listOf("200"), statuses(caller.rest()))
        }
    }

    /** Guards against a caller that waits forever for the 100 response, which was lost behind a streamed response. */
    @Test
    fun continueIsSentAfterTheEarlierResponses() {
        val listener = listen()
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/stream"))
            Thread.sleep(ARRIVAL_MILLIS)
            val head = "Expect: 100-continue\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
            caller.send("POST /next HTTP/1.1\r\n$head")
            Thread.sleep(ARRIVAL_MILLIS)
            release.complete(Unit)
            val first = caller.until(CONTINUE)
            assertTrue("4\r\npart\r\n0\r\n\r\nHTTP/1.1 100" in first, first)
            caller.send("body")
            val rest = caller.rest()
            assertEquals(listOf("200"), statuses(rest))
            assertTrue(rest.endsWith("\r\n\r\nbody"), rest)
        }
    }

    /**
     * Guards against a 100 response that is counted as a response, so that later responses are framed for the wrong
     * request (with or without a body).
     */
    @Test
    fun continueIsNotCountedAsAResponse() {
        val listener = listen()
        val expect = "Expect: 100-continue\r\nContent-Length: 4\r\n"
        RawCaller(listener.port).use { caller ->
            caller.send("POST /slow HTTP/1.1\r\n$expect\r\n")
            caller.until(CONTINUE)
            caller.send("bodyHEAD /2 HTTP/1.1\r\n$expect\r\n")
            Thread.sleep(ARRIVAL_MILLIS)
            release.complete(Unit)
            val responses = caller.until(CONTINUE)
            assertTrue("\r\n\r\nbodyHTTP/1.1 100" in responses, responses)
            caller.send("bodyGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n")
            val rest = caller.rest()
            assertEquals(listOf("200", "200"), statuses(rest))
            assertTrue("\r\n\r\nHTTP/1.1 200" in rest, rest)
        }
    }

    /** Guards against a request that is rejected under a limit that no longer applies. */
    @Test
    fun raisedHeaderLimitAppliesToOpenConnections() {
        limits = CallerLimits(headerBytes = 1_000)
        val listener = listen()
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/1"))
            caller.next(EMPTY_RESPONSE)
            limits = CallerLimits(headerBytes = 20_000)
            caller.send("GET /2 HTTP/1.1\r\nX-Long: ${"x".repeat(18_000)}\r\n\r\n")
            assertEquals(listOf("200"), statuses(caller.next(EMPTY_RESPONSE)))
            caller.send("GET /3 HTTP/1.1\r\nX-Long: ${"x".repeat(20_000)}\r\n\r\n")
            assertEquals(listOf("431"), statuses(caller.rest()))
        }
    }

    private companion object {
        const val OK = 200
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"

        /** Time for bytes to arrive on loopback. */
        const val ARRIVAL_MILLIS = 100L

        /** Two rounds of the timeout check of a listener. */
        const val TWO_SWEEPS_MILLIS = 1_200L

        /** Length of a response without a body. */
        const val EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".length
    }
}
