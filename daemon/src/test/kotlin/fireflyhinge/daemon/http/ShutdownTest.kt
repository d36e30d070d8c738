package fireflyhinge.daemon.http

import io.javalin.Javalin
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.RepeatedTest
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

class ShutdownTest {
    private fun host(limits: HttpLimits, handleMillis: Long) =
        HttpHost(
            Javalin.create { app ->
                app.useNumberedErrors()
                app.routes.get("/x") { ctx -> ctx.result("done").also { Thread.sleep(handleMillis) } }
            },
            InetSocketAddress("127.0.0.1", 0),
            limits,
        ).start()

    private fun exchange(port: Int, header: String = "Connection: close"): String =
        Socket("127.0.0.1", port).use { RawHttp.exchange(it, "GET /x HTTP/1.1\r\nHost: h\r\n$header\r\n\r\n", 3000) }

    /** Guards against callers that keep a connection to a VM that is about to go, and against refused late callers. */
    @Test
    fun drainingHostAnswersAndAnnouncesTheClose() {
        host(HttpLimits(), handleMillis = 0).use { host ->
            host.drain()
            val answer = exchange(host.port, header = "Accept: */*")
            assertTrue(answer.startsWith("HTTP/1.1 200") && "Connection: close" in answer, answer)
        }
    }

    /** Guards against answers that are cut off although their callers followed the announcement of the close. */
    @RepeatedTest(5)
    fun closeCutsNoRequest() {
        val host = host(HttpLimits(maxThreads = 100), handleMillis = 20)
        val port = host.port
        val answered = AtomicInteger()
        val expired = AtomicBoolean()
        val callers = List(30) { start { calls(port, answered, expired) } }
        while (answered.get() < 100) Thread.sleep(5)
        host.drain()
        // The time for which callers keep an address: they go on with new connections, which must be answered.
        Thread.sleep(100)
        expired.set(true)
        // Calls that were begun just before are under way.
        Thread.sleep(50)
        host.close(Duration.ofSeconds(5))
        assertEquals(emptyList<String>(), callers.flatMap { it.get() }.filterNot { it == "200" })
    }

    /** Guards against connections that are reset because they were not accepted, or had no request, at the close. */
    @RepeatedTest(5)
    fun connectionsOpenedBeforeTheCloseAreServed() {
        val host = host(HttpLimits(maxThreads = 100, connections = 5), handleMillis = 0)
        // The host accepts five; the others are in the kernel's queue when the listener closes.
        val sockets = List(30) { Socket("127.0.0.1", host.port) }
        val closing = start { host.close(Duration.ofSeconds(5)) }
        Thread.sleep(100)
        sockets.forEach { it.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()) }
        val answers = sockets.map { socket -> socket.use { RawHttp.drain(it, 3000) } }
        assertEquals(emptyList<String>(), answers.filterNot { it.startsWith("HTTP/1.1 200") && it.endsWith("done") })
        closing.get()
    }

    private fun <T> start(block: () -> T): CompletableFuture<T> =
        CompletableFuture.supplyAsync(block) { Thread(it).start() }

    private fun calls(port: Int, answered: AtomicInteger, expired: AtomicBoolean): List<String> =
        generateSequence { if (expired.get()) null else answerOrRefusal(port, answered) }.toList()

    /** The status, or what went wrong. */
    private fun answerOrRefusal(port: Int, answered: AtomicInteger): String =
        try {
            val answer = exchange(port)
            if (answer.startsWith("HTTP/1.1 200") && answer.endsWith("done")) answered.incrementAndGet()
            answer.removePrefix("HTTP/1.1 ").take(3).ifEmpty { "closed without an answer" }
        } catch (e: IOException) {
            "cut: ${e.message}"
        }
}
