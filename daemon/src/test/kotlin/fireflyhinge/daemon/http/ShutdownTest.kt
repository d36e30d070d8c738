package fireflyhinge.daemon.http

import io.javalin.Javalin
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.RepeatedTest
import org.junit.jupiter.api.Test
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.Socket
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger

class ShutdownTest {
    private fun host(handleMillis: Long) =
        HttpHost(
            Javalin.create { app ->
                app.useNumberedErrors()
                app.routes.get("/x") { ctx -> ctx.result("done").also { Thread.sleep(handleMillis) } }
            },
            InetSocketAddress("127.0.0.1", 0),
            HttpLimits(maxThreads = 100),
        ).start()

    private fun exchange(port: Int, header: String = "Connection: close"): String =
        Socket("127.0.0.1", port).use { RawHttp.exchange(it, "GET /x HTTP/1.1\r\nHost: h\r\n$header\r\n\r\n", 3000) }

    /** Guards against callers that keep a connection to a VM that is about to go, and against refused late callers. */
    @Test
    fun drainingHostAnswersAndAnnouncesTheClose() {
        host(handleMillis = 0).use { host ->
            host.drain()
            val answer = exchange(host.port, header = "Accept: */*")
            assertTrue(answer.startsWith("HTTP/1.1 200") && "Connection: close" in answer, answer)
        }
    }

    /** Guards against answers that are cut off, and against requests that are lost while the listener closes. */
    @RepeatedTest(5)
    fun closeCutsNoRequest() {
        val host = host(handleMillis = 20)
        val port = host.port
        val answered = AtomicInteger()
        val callers =
            List(30) {
                CompletableFuture.supplyAsync({
                    generateSequence { answerOrRefusal(port, answered) }.toList()
                }) { Thread(it).start() }
            }
        while (answered.get() < 100) Thread.sleep(5)
        host.close(Duration.ofSeconds(5))
        assertEquals(emptyList<String>(), callers.flatMap { it.get() }.filterNot { it == "200" })
    }

    /** The status, or what went wrong; null once the connection is refused, which is the end of a caller. */
    private fun answerOrRefusal(port: Int, answered: AtomicInteger): String? =
        try {
            val answer = exchange(port)
            if (answer.startsWith("HTTP/1.1 200") && answer.endsWith("done")) answered.incrementAndGet()
            answer.removePrefix("HTTP/1.1 ").take(3).ifEmpty { "closed without an answer" }
        } catch (_: ConnectException) {
            null
        } catch (e: java.io.IOException) {
            "cut: ${e.message}"
        }
}
