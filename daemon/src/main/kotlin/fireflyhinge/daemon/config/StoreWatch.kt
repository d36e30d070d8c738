package fireflyhinge.daemon.config

import fireflyhinge.config.ConfigKinds
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WatchBatch
import org.slf4j.LoggerFactory
import java.util.concurrent.Callable
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** Reads objects from the store: whole lists, and changes by watch. Used by one thread. */
internal class StoreWatch(
    private val settings: ConfigSettings,
    private val store: Store,
    private val offer: (List<StoredObject>) -> Unit,
) : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)
    private val calls = Executors.newCachedThreadPool { Thread(it, "store-watch").apply { isDaemon = true } }
    private var position: Long? = null

    /** Reads all copied kinds; returns whether the store answered for each of them. */
    fun list(): Boolean = ConfigKinds.REPLICATED.all(::list)

    /**
     * Waits for one batch of changes. The first call, and each call after a failure, reads all lists, since a change
     * may have been missed. Returns whether the store answered.
     */
    fun poll(): Boolean {
        val from = position ?: return begin()
        val batch = watch(from, settings.watchMillis)
        position = batch?.position
        batch?.let { offer(it.objects) }
        return batch != null
    }

    /** The next [poll] starts anew. */
    fun reset() {
        position = null
    }

    override fun close() {
        calls.shutdownNow()
    }

    /** The position is taken before the lists are read, so that no change falls between the two. */
    private fun begin(): Boolean {
        val batch = watch(position = 0, waitMillis = 0) ?: return false
        if (!list()) return false
        position = batch.position
        return true
    }

    private fun list(kind: String): Boolean =
        when (val result = limited(settings.progressMillis) { store.list(kind) }) {
            is StoreResult.Ok -> {
                offer(result.value)
                true
            }
            StoreResult.NotFound -> true
            else -> false
        }

    private fun watch(position: Long, waitMillis: Long): WatchBatch? {
        val result = limited(waitMillis + settings.progressMillis) { store.watch(position, waitMillis) }
        if (result is StoreResult.Ok) return result.value
        log.info("the watch at position {} ended: {}", position, result ?: "no reply in time")
        return null
    }

    /** A connection may go silent without closing, so a call that makes no progress is given up. */
    private fun <T> limited(limitMillis: Long, call: () -> StoreResult<T>): StoreResult<T>? {
        val pending = submit(call) ?: return null
        return try {
            pending.get(limitMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            pending.cancel(true)
            null
        } catch (e: ExecutionException) {
            if (!calls.isShutdown) log.error("a store call failed", e)
            null
        }
    }

    private fun <T> submit(call: () -> StoreResult<T>): Future<StoreResult<T>>? =
        try {
            calls.submit(Callable { call() })
        } catch (_: RejectedExecutionException) {
            null
        }
}
