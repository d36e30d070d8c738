package fireflyhinge.gateway.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.function.Executable
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** The system's own calls, to the store, other VMs and replicas, to servers that send bytes without end. */
class UnboundedServerTest {
    private class Fault(val what: String, val start: String, val piece: String)

    private val fill = "a".repeat(16_000)
    private val head = "HTTP/1.1 200 S\r\n"
    private val chunked = "${head}Transfer-Encoding: chunked\r\n\r\n"
    private val chunk = "${fill.length.toString(16)}\r\n$fill\r\n"

    private val inAnswer =
        listOf(
            Fault("a status line", "HTTP/1.1 200 ", fill),
            Fault("header lines", head, "X-Fill: 1\r\n".repeat(500)),
            Fault("one header line", head + "X-Fill: ", fill),
            Fault("empty lines before an answer", "", "\r\n".repeat(8_000)),
            Fault("interim answers", "", "HTTP/1.1 100 S\r\n\r\n".repeat(500)),
            Fault("a body in chunks", chunked, chunk),
            Fault("a body without a length", "$head\r\n", fill),
            Fault("a body with a length", "${head}Content-Length: 99999999999\r\n\r\n", fill),
            Fault("a chunk's extension", "${chunked}1;a=", fill),
            Fault("trailers", "${chunked}0\r\n", "X-Fill: 1\r\n".repeat(500)),
        )

    /** Guards against a server whose bytes take the memory of the process, or hold a call longer than its limit. */
    @Test
    fun bytesWithoutEndFailTheCallAndEndItsConnection() =
        assertAll(
            inAnswer.map { fault ->
                Executable {
                    val taken = play(fault.start, fault.piece) { client, address ->
                        val began = System.nanoTime()
                        assertTrue(runCatching { call(client, address) }.exceptionOrNull() is IOException, fault.what)
                        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began)
                        assertTrue(millis < CALL_MILLIS + MARGIN_MILLIS) { "${fault.what}: $millis ms" }
                    }
                    assertTrue(taken < MOST_TAKEN_BYTES) { "${fault.what}: $taken bytes were taken" }
                }
            },
        )

    /** Guards against a server that goes on sending on an idle connection after a complete answer. */
    @Test
    fun bytesBetweenAnswersEndTheConnection() {
        val whole = "${head}Content-Length: 2\r\n\r\nok"
        listOf("the same answer" to whole, "no answer" to fill, "empty lines" to "\r\n".repeat(8_000))
            .forEach { (what, piece) ->
                val taken = play(whole, piece) { client, address ->
                    assertEquals("ok", String(call(client, address).body), what)
                }
                assertTrue(taken < MOST_TAKEN_BYTES) { "$what: $taken bytes were taken" }
            }
    }

    /** Guards against answers without end of one server that leave no memory for the small answers of others. */
    @Test
    fun answersWithoutEndLeaveRoomForSmallOnes() =
        IoLoop().use { io ->
            val client = HttpClient(ConnectionPool(io))
            ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { faulty ->
                serve(faulty) { sendWithoutEnd(it, chunked, chunk) }
                val stopped = AtomicBoolean()
                val calls =
                    List(FAULTY_CALLS) {
                        thread { while (!stopped.get()) runCatching { call(client, address(faulty)) } }
                    }
                val failures =
                    ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { sound ->
                        val small = "${head}Connection: close\r\nContent-Length: ${fill.length}\r\n\r\n$fill"
                        serve(sound) { answer(it, small) }
                        List(SOUND_CALLS) { runCatching { call(client, address(sound)) }.exceptionOrNull()?.message }
                    }
                stopped.set(true)
                calls.forEach { it.join() }
                assertEquals(emptyList<String>(), failures.filterNotNull())
            }
        }

    private fun serve(server: ServerSocket, respond: (Socket) -> Unit) {
        thread(isDaemon = true) {
            runCatching { while (true) server.accept().let { thread(isDaemon = true) { it.use(respond) } } }
        }
    }

    private fun answer(socket: Socket, text: String) {
        socket.getInputStream().read()
        socket.getOutputStream().write(text.toByteArray())
        socket.shutdownOutput()
        socket.getInputStream().readAllBytes()
    }

    private fun address(server: ServerSocket) = "127.0.0.1:${server.localPort}"

    private fun call(client: HttpClient, address: String) =
        runBlocking { client.call(address, "GET", "/", timeoutMillis = CALL_MILLIS) }

    /** Sends [start] and then [piece] without end to the first call of [block]. Returns the bytes that were taken. */
    private fun play(start: String, piece: String, block: (HttpClient, String) -> Unit): Long =
        IoLoop().use { io ->
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val taken = CompletableFuture<Long>()
                thread(isDaemon = true) { server.accept().use { taken.complete(sendWithoutEnd(it, start, piece)) } }
                block(HttpClient(ConnectionPool(io)), address(server))
                taken.get(ENDED_MILLIS, TimeUnit.MILLISECONDS)
            }
        }

    private fun sendWithoutEnd(socket: Socket, start: String, piece: String): Long {
        val bytes = piece.toByteArray()
        var sent = 0L
        try {
            socket.getInputStream().read()
            socket.getOutputStream().write(start.toByteArray())
            while (sent < ENDLESS_BYTES) {
                socket.getOutputStream().write(bytes)
                sent += bytes.size
            }
        } catch (_: IOException) {
            // The client closed the connection.
        }
        return sent
    }

    private companion object {
        const val CALL_MILLIS = 3_000L
        const val MARGIN_MILLIS = 1_000L
        const val BACKLOG = 10

        /** Calls to the faulty server at a time; their answers together are more than may be buffered. */
        const val FAULTY_CALLS = 8
        const val SOUND_CALLS = 300
        const val ENDED_MILLIS = 10_000L
        const val ENDLESS_BYTES = 96L * 1024 * 1024

        /** Maximum buffered bytes of one answer plus the socket buffers. */
        const val MOST_TAKEN_BYTES = 4L * 1024 * 1024 + 16L * 1024 * 1024
    }
}
