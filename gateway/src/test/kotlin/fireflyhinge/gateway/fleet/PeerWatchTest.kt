package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.HttpListener
import fireflyhinge.gateway.http.IoLoop
import fireflyhinge.gateway.http.RequestHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit

class PeerWatchTest {
    private val io = IoLoop()
    private val address = freeAddress()
    private val secondAddress = freeAddress()
    private val first = vm("vm-2", address)
    private val second = vm("vm-3", secondAddress)
    private var others = listOf(first)
    private val copies = ArrayBlockingQueue<Set<String>>(16)
    private val store = ListedStore()

    @AfterEach
    fun stop() = io.close()

    /** Lists one object. */
    private class ListedStore : StubStore() {
        @Volatile
        var change: StoreReadResult.Changes? = null

        @Volatile
        var watches = 0

        override suspend fun list(kind: StoreObjectKind) = listing("old", 5)

        override suspend fun watch(
            kind: StoreObjectKind,
            revision: Long,
            waitMillis: Long,
            onBegin: () -> Unit,
        ): StoreReadResult {
            val waits = waitMillis > 1
            if (waits) watches++
            while (waits && !isNewer(revision)) delay(POLL_MILLIS)
            return change?.takeIf { isNewer(revision) } ?: StoreReadResult.Changes(emptyList(), emptySet(), revision)
        }

        private fun isNewer(revision: Long) = (change?.revision ?: 0) > revision
    }

    private fun follow() {
        val peers = PeerWatch(PeerClient(HttpClient(ConnectionPool(io)))) { others }
        val mirror =
            StoreMirror(StoreObjectKind.CONFIGURATION, store, io.scope, { false }, peers) {
                copies.add(it.items().keys)
            }
        io.scope.launch { mirror.run() }
        assertEquals(setOf("old"), copies.poll(AWAIT_SECONDS, TimeUnit.SECONDS))
    }

    private fun serve(at: InetSocketAddress = address, handler: RequestHandler) =
        HttpListener(io, at, handler = handler).start()

    private fun serve(feed: CopyFeed, at: InetSocketAddress = address) =
        serve(at, CopyFeedHandler(mapOf(StoreObjectKind.CONFIGURATION to feed)) { _, _ -> error("another path") })

    private fun publish(feed: CopyFeed, name: String, revision: Long) {
        val copy = StoreObjectCache()
        copy.replace(listing(name, revision).items, revision, retentionMillis = 0)
        feed.publish(copy)
    }

    /** Guards against a configuration that each VM reads from the store although another VM has it. */
    @Test
    fun changesComeFromTheOtherVm() {
        val feed = CopyFeed()
        serve(feed)
        follow()
        for (revision in 6L..8L) {
            publish(feed, "new-$revision", revision)
            assertEquals(setOf("new-$revision"), copies.poll(AWAIT_SECONDS, TimeUnit.SECONDS))
        }
        assertEquals(0, store.watches)
    }

    /** Guards against a copy that is taken over though it is older than this VM's. */
    @Test
    fun anOlderCopyIsNotTakenOver() {
        val feed = CopyFeed()
        publish(feed, "older", 4)
        serve(feed)
        follow()
        assertEquals(null, copies.poll(CopyFeed.WAIT_MILLIS, TimeUnit.MILLISECONDS))
    }

    /** Guards against changes that are missed because the other VM has ended. */
    @Test
    fun theStoreIsWatchedIfTheOtherVmHasEnded() = assertWatchesStore()

    /** Guards against changes that are missed because the other VM sends something else. */
    @Test
    fun theStoreIsWatchedIfTheOtherVmSendsNoListing() {
        serve { _, response -> response.respond(200, DefaultHttpHeaders(), "no listing".toByteArray()) }
        assertWatchesStore()
    }

    /** Guards against changes that are missed because the other VM runs a build without such responses. */
    @Test
    fun theStoreIsWatchedIfTheOtherVmDoesNotKnowThePath() {
        serve { _, response -> response.respond(404, DefaultHttpHeaders(), ByteArray(0)) }
        assertWatchesStore()
    }

    /** Guards against changes that are late because the other VM is frozen, until it counts as down. */
    @Test
    fun theStoreIsWatchedIfTheOtherVmIsSilent() {
        serve { _, _ -> awaitCancellation() }
        assertWatchesStore()
    }

    private fun assertWatchesStore() {
        follow()
        await { store.watches > 0 }
        store.change = changed("new", 6)
        assertEquals(setOf("new"), copies.poll(AWAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** Guards against changes that are late because the store does not serve the other VM. */
    @Test
    fun aChangeThatTheOtherVmMissesIsFoundInTime() {
        serve(CopyFeed())
        follow()
        store.change = changed("new", 6)
        assertEquals(setOf("new"), copies.poll(APPLY_MILLIS, TimeUnit.MILLISECONDS))
        await { store.watches > 0 }
        store.change = changed("newer", 7)
        assertEquals(setOf("newer"), copies.poll(1, TimeUnit.SECONDS))
    }

    /** Guards against a configuration that all VMs of a region read from the store since the first one has ended. */
    @Test
    fun changesComeFromTheSecondVmIfTheFirstHasEnded() = assertChangesComeFromTheSecondVm()

    /** Guards against a configuration that all VMs of a region read from the store since the first one is frozen. */
    @Test
    fun changesComeFromTheSecondVmIfTheFirstIsSilent() {
        serve { _, _ -> awaitCancellation() }
        assertChangesComeFromTheSecondVm()
    }

    /** Guards against a configuration that all VMs of a region read from the store since the first one lacks it. */
    @Test
    fun changesComeFromTheSecondVmIfTheFirstIsBehind() {
        serve(CopyFeed())
        assertChangesComeFromTheSecondVm()
    }

    private fun assertChangesComeFromTheSecondVm() {
        others = listOf(first, second)
        val feed = CopyFeed()
        serve(feed, secondAddress)
        follow()
        for (revision in 6L..8L) {
            publish(feed, "new-$revision", revision)
            assertEquals(setOf("new-$revision"), copies.poll(APPLY_MILLIS, TimeUnit.MILLISECONDS))
            Thread.sleep(CHANGE_INTERVAL_MILLIS)
        }
        assertEquals(0, store.watches)
    }

    /** Guards against the second VM as a source that is not noticed to be behind, as the first one is. */
    @Test
    fun anotherVmWithANewerCopyTellsThatThisOneIsBehind() {
        var behind = 0
        val feed = CopyFeed { behind++ }
        publish(feed, "held", 5)
        for ((revision, expected) in listOf(4L to 0, 5L to 0, 6L to 1, 6L to 1, 7L to 2)) {
            runBlocking { withTimeoutOrNull(POLL_MILLIS) { feed.await(CopyVersion(revision)) } }
            assertEquals(expected, behind, "$revision")
        }
    }

    private fun await(condition: () -> Boolean) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS)
        while (!condition()) {
            assertTrue(System.nanoTime() < end)
            Thread.sleep(POLL_MILLIS)
        }
    }

    private companion object {
        const val AWAIT_SECONDS = 5L
        const val POLL_MILLIS = 10L
        const val CHANGE_INTERVAL_MILLIS = 1_200L

        /** Time within which changes must take effect. */
        const val APPLY_MILLIS = 3_000L

        fun freeAddress() = ServerSocket(0).use { InetSocketAddress("127.0.0.1", it.localPort) }

        fun vm(name: String, control: InetSocketAddress) =
            VmRecord(name, "127.0.0.1:1", "127.0.0.1:${control.port}", "north", startedAt = 1)

        fun listing(name: String, revision: Long) =
            StoreReadResult.Listing(listOf(StoreItem(name, revision, "{}")), revision)

        fun changed(name: String, revision: Long) =
            StoreReadResult.Changes(listOf(StoreItem(name, revision, "{}")), setOf("old", "new") - name, revision)
    }
}
