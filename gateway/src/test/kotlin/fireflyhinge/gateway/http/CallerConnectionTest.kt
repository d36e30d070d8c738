package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

class CallerConnectionTest {
    private val io = IoLoop()

    @Volatile
    private var limits = CallerLimits()

    @AfterEach
    fun stop() = io.close()

    private fun listen(handle: suspend (CallerRequest, ResponseWriter) -> Unit): HttpListener {
        val handler =
            object : RequestHandler {
                override suspend fun handle(request: CallerRequest, response: ResponseWriter) =
                    handle(request, response)
            }
        return HttpListener(io, InetSocketAddress("127.0.0.1", 0), { limits }, handler).start()
    }

    @Volatile
    private var fails = false

    private suspend fun ResponseWriter.echo(request: CallerRequest) =
        respond(OK, DefaultHttpHeaders(), request.uri.toByteArray())

    private fun statuses(responses: String) =
        Regex("HTTP/1.1 (\\d+)").findAll(responses).map { it.groupValues[1] }.toList()

    private class Case(val description: String, val failure: () -> Throwable)

    private val failures =
        listOf(
            Case("an invalid value") { NumberFormatException("For input string: \"port\"") },
            Case("an illegal state") { IllegalStateException("test") },
            Case("a JVM error") { StackOverflowError() },
            Case("the cancellation of another coroutine") { CancellationException("test") },
        )

    /** Guards against a complete request that gets neither a response nor an error because its handler failed. */
    @Test
    fun failingHandlerYieldsAnErrorResponse() {
        failures.forEach { case ->
            listOf(0L, 20L).forEach { millis ->
                val listener = listen { request, response ->
                    if (request.uri == "/fails") {
                        delay(millis)
                        throw case.failure()
                    }
                    response.echo(request)
                }
                RawCaller(listener.port).use { caller ->
                    caller.send(RawCaller.request("/fails") + "GET /next HTTP/1.1\r\nConnection: close\r\n\r\n")
                    val responses = caller.rest()
                    assertEquals(listOf("500", "200"), statuses(responses), "${case.description} after $millis ms")
                    assertTrue("FH-9001" in responses, case.description)
                }
            }
        }
    }

    /** Guards against a truncated response that looks complete because its handler failed after starting it. */
    @Test
    fun responseIsTruncatedWhenItsHandlerFailsMidway() {
        failures.forEach { case ->
            val listener = listen { _, response ->
                response.start(OK, DefaultHttpHeaders())
                response.write("part".toByteArray())
                throw case.failure()
            }
            RawCaller(listener.port).use { caller ->
                caller.send(RawCaller.request("/"))
                val response = caller.rest()
                assertTrue(response.endsWith("4\r\npart\r\n"), "${case.description}: $response")
            }
        }
    }

    /** Guards against requests that get no response because malformed bytes follow them on the connection. */
    @Test
    fun requestsBeforeAMalformedOneGetResponses() {
        val listener = listen { request, response -> delay(50).also { response.echo(request) } }
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/1") + RawCaller.request("/2") + "no request\r\n\r\n")
            assertEquals(listOf("200", "200", "400"), statuses(caller.rest()))
        }
    }

    /** Guards against pipelined requests that get no response because the VM stops. */
    @Test
    fun pipelinedRequestsAreServedWhileTheListenerStops() {
        val release = CompletableDeferred<Unit>()
        val listener = listen { request, response -> release.await().also { response.echo(request) } }
        RawCaller(listener.port).use { caller ->
            caller.send((1..3).joinToString("") { RawCaller.request("/$it") })
            await { listener.inFlight == 1 }
            Thread.sleep(ARRIVAL_MILLIS)
            listener.draining = true
            listener.stopAccepting()
            release.complete(Unit)
            val responses = caller.rest()
            assertEquals(listOf("200", "200", "200"), statuses(responses))
            assertEquals(1, Regex("(?i)connection: close").findAll(responses).count())
            assertTrue(responses.endsWith("/3"))
        }
    }

    /** Guards against a stop that closes a connection on which a request is arriving. */
    @Test
    fun arrivingRequestIsServedWhileTheListenerStops() {
        val parts = listOf("GET /x HTT" to "P/1.1\r\n\r\n", "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo" to "dy")
        parts.forEach { (first, second) ->
            val listener = listen { request, response -> response.echo(request) }
            RawCaller(listener.port).use { caller ->
                caller.send(first)
                Thread.sleep(ARRIVAL_MILLIS)
                listener.draining = true
                listener.stopAccepting()
                Thread.sleep(ARRIVAL_MILLIS)
                assertEquals(1, listener.inFlight, first)
                caller.send(second)
                assertEquals(listOf("200"), statuses(caller.rest()), first)
            }
        }
    }

    /** Guards against a connection that stays open after the stop because its response was started before it. */
    @Test
    fun connectionWithAResponseStartedBeforeTheStopIsClosedAfterIt() {
        val release = CompletableDeferred<Unit>()
        val listener = listen { _, response ->
            response.start(OK, DefaultHttpHeaders())
            response.write("part".toByteArray())
            release.await()
            response.finish()
        }
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/"))
            await { listener.inFlight == 1 }
            Thread.sleep(ARRIVAL_MILLIS)
            listener.draining = true
            listener.stopAccepting()
            release.complete(Unit)
            assertTrue(caller.rest().endsWith("0\r\n\r\n"))
            assertEquals(0, listener.inFlight)
        }
    }

    /** Guards against closing a connection early on a caller that still relies on the previous idle limit. */
    @Test
    fun loweredIdleLimitAppliesFromTheNextIdlePeriod() {
        limits = CallerLimits(idleMillis = 4_000)
        val listener = listen { request, response -> response.echo(request) }
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/1"))
            assertTrue("/1" in caller.next(FIRST_RESPONSE))
            await { listener.inFlight == 0 }
            limits = CallerLimits(idleMillis = 300)
            Thread.sleep(1_500)
            caller.send(RawCaller.request("/2"))
            assertEquals(listOf("200"), statuses(caller.rest()))
        }
        await { listener.open == 0 }
    }

    /** Guards against a request that gets neither a response nor an error because reading it failed. */
    @Test
    fun unreadableRequestGetsAnErrorAfterTheEarlierResponses() {
        val reading = { Thread.currentThread().stackTrace.any { it.methodName == "begin" } }
        val failingLimits = { if (fails && reading()) error("test") else limits }
        val handler =
            object : RequestHandler {
                override suspend fun handle(request: CallerRequest, response: ResponseWriter) =
                    delay(ARRIVAL_MILLIS).also { response.echo(request) }
            }
        val listener = HttpListener(io, InetSocketAddress("127.0.0.1", 0), failingLimits, handler).start()
        RawCaller(listener.port).use { caller ->
            caller.send(RawCaller.request("/1"))
            await { listener.inFlight == 1 }
            fails = true
            caller.send(RawCaller.request("/2"))
            val responses = caller.rest()
            assertEquals(listOf("200", "503"), statuses(responses))
            assertTrue("FH-9002" in responses, responses)
        }
    }

    /** Guards against connections that stay open forever because one idle check failed. */
    @Test
    fun idleConnectionsAreClosedAfterAFailedCheck() {
        var checks = 0
        val failingLimits = {
            if (Thread.currentThread().stackTrace.any { it.methodName == "sweep" } && checks++ == 0) error("test")
            CallerLimits(idleMillis = 100)
        }
        val handler =
            object : RequestHandler {
                override suspend fun handle(request: CallerRequest, response: ResponseWriter) = response.echo(request)
            }
        val listener = HttpListener(io, InetSocketAddress("127.0.0.1", 0), failingLimits, handler).start()
        RawCaller(listener.port).use { assertEquals("", it.rest()) }
        assertTrue(checks > 1)
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + TIMEOUT_NANOS
        while (!condition()) {
            check(System.nanoTime() < end) { "condition not met within $TIMEOUT_NANOS ns" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        const val OK = 200
        const val POLL_MILLIS = 10L
        const val TIMEOUT_NANOS = 5_000_000_000

        /** Time for bytes to arrive on loopback. */
        const val ARRIVAL_MILLIS = 100L

        /** Length of the response with body `/1`. */
        const val FIRST_RESPONSE = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n/1".length
    }
}
