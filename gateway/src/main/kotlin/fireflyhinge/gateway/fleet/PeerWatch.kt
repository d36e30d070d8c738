package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Waits for changes of large objects at VMs of the same region instead of the store, so that each change crosses a link
 * between regions once and not once for each VM.
 *
 * @param sources selects the VMs, the preferred one first; none if this one is to watch the store itself.
 */
internal class PeerWatch(private val peers: PeerClient, private val sources: () -> List<VmRecord>) {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Until when VMs that failed are not waited at, by name. */
    private val unusableUntil = HashMap<String, Long>()

    private val newer = Channel<Unit>(Channel.CONFLATED)

    /** Waits for a copy of [kind] newer than [revision] of [era]. Returns null if no VM can be watched. */
    suspend fun await(kind: StoreObjectKind, revision: Long, era: Long): StoreReadResult.PeerCopy? {
        while (true) {
            val vms = usable().ifEmpty { return null }
            first(vms) { poll(it, CopyFeedHandler.path(kind, revision, era)) }?.let { return it }
        }
    }

    /** Records that a change did not come from the preferred VM in time, so that it is not watched for a while. */
    fun missed() {
        usable().firstOrNull()?.let { failed(it, "missed a change") }
    }

    /** Records that another VM has a newer copy. */
    fun recordNewer() {
        newer.trySend(Unit)
    }

    /** Waits until another VM has a newer copy. */
    suspend fun awaitNewer() = newer.receive()

    private fun usable(): List<VmRecord> {
        val now = monotonicMillis()
        unusableUntil.values.removeAll { it <= now }
        return sources().filter { it.name !in unusableUntil }
    }

    /** The first copy that one of [vms] returns; null if none does. */
    private suspend fun first(
        vms: List<VmRecord>,
        poll: suspend (VmRecord) -> StoreReadResult.PeerCopy?,
    ): StoreReadResult.PeerCopy? =
        coroutineScope {
            val replies = Channel<StoreReadResult.PeerCopy?>(vms.size)
            vms.forEach { vm -> launch { replies.send(poll(vm)) } }
            val copy = vms.indices.firstNotNullOfOrNull { replies.receive() }
            coroutineContext.cancelChildren()
            copy
        }

    private suspend fun poll(vm: VmRecord, path: String): StoreReadResult.PeerCopy? =
        try {
            val body = peers.get(vm.control, path, CopyFeed.WAIT_MILLIS + PeerClient.CALL_MILLIS)
            if (body.isEmpty()) null else StoreReadResult.PeerCopy(CompressedListing.decode(body), vm.name)
        } catch (e: IOException) {
            failed(vm, e.message.orEmpty())
            null
        }

    private fun failed(vm: VmRecord, reason: String) {
        unusableUntil[vm.name] = monotonicMillis() + UNUSABLE_MILLIS
        log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", reason)
            .log("not watching another VM for a while")
    }

    private companion object {
        const val UNUSABLE_MILLIS = 5_000L
    }
}
