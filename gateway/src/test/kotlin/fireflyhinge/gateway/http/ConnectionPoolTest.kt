package fireflyhinge.gateway.http

import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotSame
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors

class ConnectionPoolTest {
    /** Guards against a connection leak when the request is cancelled while its connection is being established. */
    @Test
    fun connectionForACancelledRequestIsClosed() {
        val caller = Executors.newSingleThreadExecutor()
        IoLoop().use { io ->
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val address = "127.0.0.1:${server.localPort}"
                val connecting = CountDownLatch(1)
                io.loop.execute { connecting.await() }
                val job = CoroutineScope(caller.asCoroutineDispatcher()).launch { ConnectionPool(io).acquire(address) }
                caller.submit {}.get()
                val resuming = CountDownLatch(1)
                caller.execute { resuming.await() }
                connecting.countDown()
                server.accept().use { accepted ->
                    Thread.sleep(ARRIVAL_MILLIS)
                    job.cancel()
                    resuming.countDown()
                    accepted.soTimeout = CLOSE_MILLIS
                    assertEquals(-1, accepted.getInputStream().read())
                }
            }
        }
        caller.shutdown()
    }

    /** Guards against a retry that reads a second response to its first attempt, however many requests came between. */
    @Test
    fun retryDoesNotUseTheConnectionOfItsFirstAttempt() {
        IoLoop().use { io ->
            ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { server ->
                val address = "127.0.0.1:${server.localPort}"
                val pool = ConnectionPool(io)
                listOf(0, 10, 200).forEach { between ->
                    runBlocking {
                        val first = pool.acquire(address, "id-$between")
                        first.recentRequests.add("id-$between", HttpMethod.POST)
                        repeat(between) { first.recentRequests.add("other-$it", HttpMethod.POST) }
                        pool.release(first)
                        assertNotSame(first, pool.acquire(address, "id-$between", setOf(first)), "after $between")
                    }
                }
            }
        }
    }

    /** Guards against a request without a response because its address is invalid. */
    @Test
    fun invalidAddressIsAFailedConnection() {
        val addresses =
            listOf("", ":", "a", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:0", "127.0.0.1:65536") +
                listOf("[::1:80", "127.0.0.1:-1", "127.0.0.1:99999999999", "127.0.0.1:80\r\nX: y", "a\u0000:80")
        val other =
            IoLoop().use { io ->
                addresses.associateWith { address ->
                    runBlocking { runCatching { ConnectionPool(io).acquire(address) }.exceptionOrNull() }
                }.filterValues { it !is ConnectFailedException }
            }
        assertEquals(emptyMap<String, Throwable?>(), other)
    }

    private companion object {
        const val BACKLOG = 10

        /** Time for the loop to learn that a connection on loopback is established. */
        const val ARRIVAL_MILLIS = 200L

        /** Time for a connection to be closed. */
        const val CLOSE_MILLIS = 2_000
    }
}
