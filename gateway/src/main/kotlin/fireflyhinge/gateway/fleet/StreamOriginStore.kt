package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CallBackoff
import fireflyhinge.forward.ServiceVersions
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StreamOrigins
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Keeps what this VM knows of where streams began in the platform's store while a service has several versions, for its
 * next start: all VMs may be killed at once.
 */
internal class StreamOriginStore(
    private val origins: StreamOrigins,
    private val versions: ServiceVersions,
    private val vm: String,
    private val recorders: StreamRecorders,
    private val store: PlatformStore,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val backoff = CallBackoff()
    private val loaded = CompletableDeferred<Unit>()
    private var stored = 0L

    /** Waits until what is stored has been read, for a short time at most. Returns whether it has. */
    suspend fun awaitLoaded(): Boolean = withTimeoutOrNull(LOAD_WAIT_MILLIS) { loaded.await() } != null

    /** Reads what is stored, and then keeps it up to date until cancelled. */
    suspend fun run(): Nothing {
        var failures = 0
        while (!load(isFirst = failures == 0)) delay(backoff.millis(++failures))
        loaded.complete(Unit)
        stored = origins.count
        repeatForever(log, "storing where streams began") {
            delay(INTERVAL_MILLIS)
            write()
        }
    }

    private suspend fun load(isFirst: Boolean): Boolean =
        try {
            val body = store.find(StoreObjectKind.STREAMS, vm)
            if (body != null) origins.told(StreamOriginCodec.decode(body.toByteArray()))
            log.atInfo().addKeyValue("streams", origins.count).log("read where streams began")
            true
        } catch (e: IOException) {
            if (isFirst) log.atWarn().addKeyValue("reason", e.message).log("could not read where streams began")
            false
        }

    private suspend fun write() {
        val count = origins.count
        if (count == stored || !recorders.includesSelf()) return
        val recent = origins.recent { versions.only(it) == null }
        if (recent.isEmpty()) return
        val body = StreamOriginCodec.encode(recent).toString(Charsets.UTF_8)
        if (store.replace(StoreObjectKind.STREAMS, vm, body)) stored = count
    }

    private companion object {
        /** Streams that began within this time before a kill of all VMs are lost. */
        const val INTERVAL_MILLIS = 1_000L

        /** Less than the time in which a VM that asks expects the answer. */
        const val LOAD_WAIT_MILLIS = 400L
    }
}
