package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.HttpListener
import fireflyhinge.gateway.http.IoLoop
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

class CopyExchangeTest {
    private val io = IoLoop()
    private val address = ServerSocket(0).use { InetSocketAddress("127.0.0.1", it.localPort) }
    private val listing = StoreReadResult.Listing(listOf(StoreItem("a", 5, "{}")), 5)
    private val copies = ArrayBlockingQueue<Set<String>>(16)

    @AfterEach
    fun stop() = io.close()

    private class RefusingStore : StubStore() {
        override suspend fun list(kind: StoreObjectKind) = StoreReadResult.Unavailable("status 503")
    }

    /** Guards against copies that spread too slowly from the only VM that the store serves. */
    @Test
    fun aNewerCopyIsFetchedFromAVmThatOffersIt() =
        assertFetched { response -> response.respond(200, DefaultHttpHeaders(), PeerMessages.encode(listing)) }

    /** Guards against a copy that no VM can fetch because its transfer takes longer than a call may take. */
    @Test
    fun aLargeCopyIsFetchedOverASlowLink() =
        assertFetched { response ->
            response.start(200, DefaultHttpHeaders())
            PeerMessages.encode(listing).forEach { byte ->
                delay(TRANSFER_MILLIS / PeerMessages.encode(listing).size)
                response.write(byteArrayOf(byte))
            }
            response.finish()
        }

    private fun assertFetched(respond: suspend (ResponseWriter) -> Unit) {
        val listener = HttpListener(io, address, handler = { _, response -> respond(response) }).start()
        val mirror = StoreMirror(StoreObjectKind.REPLICAS, RefusingStore(), io.scope) { copies.add(it.items().keys) }
        io.scope.launch { mirror.run() }
        val exchange = CopyExchange(listOf(mirror), PeerClient(HttpClient(ConnectionPool(io))), io.scope) { null }
        val offered = mapOf(StoreObjectKind.REPLICAS to CopyVersion(5, "digest"))
        io.scope.launch { exchange.offer(offered, "127.0.0.1:${address.port}") }
        assertEquals(setOf("a"), copies.poll(5, TimeUnit.SECONDS))
        listener.stopAccepting()
    }

    private companion object {
        /** Time for 300 kB, which VMs of one region fetch at once, over a link between regions. */
        const val TRANSFER_MILLIS = 1_800L
    }
}
