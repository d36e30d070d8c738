package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits
import fireflyhinge.forward.HeldBytesLimits
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory
import java.lang.management.MemoryType
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Callers that do not read, or read slowly, at a VM with the smallest heap of a deployment. */
class SlowCallerTest {
    private val io = IoLoop()
    private val registry = PrometheusRegistry()
    private val held = HeldMemory(io.loop, HeldBytesLimits.of(SMALLEST_HEAP_BYTES), registry)
    private val callers = ArrayList<Socket>()

    /** What writing plain responses threw. */
    private val failures = CopyOnWriteArrayList<Throwable>()
    private var limits = CallerLimits()

    @AfterEach
    fun stop() {
        callers.forEach { it.close() }
        io.close()
    }

    private fun listen(): HttpListener {
        val handler =
            RequestHandler { request, response ->
                val size = request.uri.substringAfterLast('/').toInt()
                if (!request.uri.startsWith("/stream/")) {
                    return@RequestHandler respond(response, size)
                }
                response.start(OK, DefaultHttpHeaders())
                repeat(size / EVENT_BYTES) {
                    response.write(ByteArray(EVENT_BYTES))
                    delay(EVENT_MILLIS)
                }
                response.finish()
            }
        val address = InetSocketAddress("127.0.0.1", 0)
        return HttpListener(io, address, { limits }, handler, held, refusesEarly = true).start()
    }

    @Suppress("TooGenericExceptionCaught") // Whatever the writer throws is checked and thrown again.
    private suspend fun respond(response: ResponseWriter, size: Int) {
        try {
            response.respond(OK, DefaultHttpHeaders(), ByteArray(size))
        } catch (e: Throwable) {
            failures += e
            throw e
        }
    }

    private fun call(listener: HttpListener, path: String): Socket {
        val socket = Socket()
        socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
        socket.soTimeout = TIMEOUT_MILLIS
        socket.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), listener.port))
        socket.getOutputStream().write("GET $path HTTP/1.1\r\nConnection: close\r\n\r\n".toByteArray())
        return socket.also { callers += it }
    }

    /** Reads [piece] bytes every [pauseMillis]. Completes with all bytes, or null if the connection broke. */
    private fun read(caller: Socket, piece: Int, pauseMillis: Long): CompletableFuture<ByteArray?> {
        val result = CompletableFuture<ByteArray?>()
        thread(isDaemon = true) {
            var all = ByteArray(0)
            try {
                while (true) {
                    val next = caller.getInputStream().readNBytes(piece)
                    all += next
                    if (next.size < piece) break
                    Thread.sleep(pauseMillis)
                }
                result.complete(all)
            } catch (_: IOException) {
                result.complete(null)
            }
        }
        return result
    }

    private fun whole(response: ByteArray?) =
        response != null && String(response.takeLast(STREAM_END.length).toByteArray()) == STREAM_END

    /** Heap in use right after a collection, and the memory outside the heap that the network library takes. */
    @Suppress("ExplicitGarbageCollectionCall") // Otherwise garbage would count as used.
    private fun usedBytes(): Long {
        System.gc()
        val direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).sumOf { it.memoryUsed }
        val heap = ManagementFactory.getMemoryPoolMXBeans().filter { it.type == MemoryType.HEAP }
        return heap.sumOf { it.collectionUsage?.used ?: 0 } + direct
    }

    private fun await(what: String, condition: () -> Boolean) {
        val end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L
        while (!condition()) {
            check(System.nanoTime() < end) { "$what: ${held.bytes} bytes held" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun counted(name: String): Int {
        val snapshot = registry.scrape().first { it.metadata.prometheusName == name } as CounterSnapshot
        return snapshot.dataPoints.sumOf { it.value }.toInt()
    }

    /** Guards against responses to callers that do not read, which together take all memory. */
    @Test
    fun requestsAreRefusedBeforeUnreadResponsesTakeTheHeap() {
        val listener = listen()
        val before = usedBytes()
        val slow = List(SLOW_CALLERS) { call(listener, "/plain/$LARGE_BYTES") }
        await("all were handled") { slow.all { it.getInputStream().available() > 0 } }
        val used = usedBytes() - before
        println("SlowCallerTest plain: held ${held.bytes}, used $used, refused ${counted(REFUSALS)}")
        assertTrue(held.bytes < held.limits.relieveAt) { "${held.bytes} bytes held" }
        assertTrue(used < held.limits.total + OTHER_BYTES) { "$used bytes used" }
        val refusal = String(checkNotNull(read(call(listener, "/plain/1"), 1, 0).get()))
        assertTrue(refusal.startsWith("HTTP/1.1 503") && "\"run\":\"not_run\"" in refusal, refusal)
        assertTrue("retry-after: 0.50" in refusal, refusal)
        assertTrue(counted(REFUSALS) > SLOW_CALLERS / 2)
        slow.forEach { it.close() }
        await("nothing is held") { held.bytes == 0L && listener.open == 0 }
        assertTrue(String(read(call(listener, "/plain/1"), 1, 0).get()!!).startsWith("HTTP/1.1 200"))
    }

    /** Guards against streams to callers that do not read, which end those of callers that do, or the process. */
    @Test
    fun callersThatDoNotReadAreAbortedBeforeThoseThatDo() {
        val listener = listen()
        val before = usedBytes()
        val stream = "/stream/$STREAM_BYTES"
        val steady = List(STEADY_CALLERS) { read(call(listener, stream), STEADY_BYTES, STEADY_MILLIS) }
        val slow = List(SLOW_CALLERS) { call(listener, stream) }
        val healthy = List(STEADY_CALLERS) { read(call(listener, stream), EVENT_BYTES, 0) }
        var most = 0L
        var used = 0L
        await("all that read have responses") {
            most = maxOf(most, held.bytes)
            used = maxOf(used, usedBytes() - before)
            (steady + healthy).all { it.isDone }
        }
        println("SlowCallerTest streams: held at most $most, used at most $used, aborted ${counted(ABORTS)}")
        assertEquals(emptyList<Int>(), healthy.indices.filterNot { whole(healthy[it].get()) })
        assertEquals(emptyList<Int>(), steady.indices.filterNot { whole(steady[it].get()) })
        assertTrue(counted(ABORTS) in 1 until SLOW_CALLERS)
        assertTrue(most < held.limits.total + OTHER_BYTES / 4) { "$most bytes held" }
        assertTrue(used < held.limits.total + OTHER_BYTES) { "$used bytes used" }
        slow.forEach { it.close() }
        await("nothing is held") { held.bytes == 0L && listener.open == 0 }
    }

    /** Guards against a connection that is kept forever for a caller that does not read its response. */
    @Test
    fun callerThatTakesNothingIsAbortedInTime() {
        limits = CallerLimits(idleMillis = 300)
        val listener = listen()
        val caller = call(listener, "/plain/$LARGE_BYTES")
        await("the response is queued") { held.bytes > 0 }
        await("the connection is closed") { listener.open == 0 }
        assertEquals(0, held.bytes)
        assertEquals(null, read(caller, LARGE_BYTES, 0).get())
    }

    /** Guards against a caller that leaves, or is aborted, and whose failed write is taken for the replica's fault. */
    @Test
    fun requestOfACallerWhoseConnectionClosesIsCancelled() {
        limits = CallerLimits(idleMillis = 300)
        val listener = listen()
        val caller = call(listener, "/plain/$LARGE_BYTES")
        await("the response is queued") { held.bytes > 0 }
        caller.setSoLinger(true, 0)
        caller.close()
        await("the request of the caller that left has ended") { failures.size == 1 }
        call(listener, "/plain/$LARGE_BYTES")
        await("the request of the aborted caller has ended") { failures.size == 2 }
        assertTrue(failures[0] is CancellationException, "${failures[0]}")
        assertTrue(failures[1] is SlowCallerException, "${failures[1]}")
    }

    /** Guards against a caller that reads slowly but steadily and loses the end of its response. */
    @Test
    fun callerThatReadsSteadilyIsNotAborted() {
        limits = CallerLimits(idleMillis = 300)
        val listener = listen()
        val began = System.nanoTime()
        val response = read(call(listener, "/plain/$LARGE_BYTES"), LARGE_BYTES / 100, 30).get()
        assertTrue(checkNotNull(response).size > LARGE_BYTES)
        assertTrue(System.nanoTime() - began > 3_000_000_000)
        await("nothing is held") { held.bytes == 0L && listener.open == 0 }
    }

    /** Guards against a stop that cuts off a response that the caller is still reading. */
    @Test
    fun stopWaitsForCallersThatRead() {
        val listener = listen()
        val response = read(call(listener, "/stream/$STREAM_BYTES"), STEADY_BYTES, STEADY_MILLIS)
        await("the stream is queued") { held.bytes > EVENT_BYTES * 4 }
        listener.draining = true
        io.loop.execute { listener.stopAccepting() }
        listener.awaitRequests(monotonicMillis() + TIMEOUT_MILLIS)
        assertEquals(0, listener.inFlight)
        assertTrue(whole(response.get()))
    }

    private companion object {
        const val OK = 200
        const val REFUSALS = "fireflyhinge_memory_refusals"
        const val ABORTS = "fireflyhinge_slow_callers_aborted"
        const val SMALLEST_HEAP_BYTES = 110L * 1024 * 1024
        const val SLOW_CALLERS = 400
        const val STEADY_CALLERS = 10
        const val LARGE_BYTES = 2 * 1024 * 1024
        const val STREAM_BYTES = 312_000
        const val EVENT_BYTES = 2_000
        const val EVENT_MILLIS = 10L
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val STREAM_END = "\r\n0\r\n\r\n"

        /** 80 KB/s: a stream takes about four seconds. */
        const val STEADY_BYTES = 8_000
        const val STEADY_MILLIS = 100L

        /** What connections and requests take besides the bytes that count; with what the test itself takes. */
        const val OTHER_BYTES = 16L * 1024 * 1024
        const val TIMEOUT_MILLIS = 30_000
        const val POLL_MILLIS = 50L
    }
}
