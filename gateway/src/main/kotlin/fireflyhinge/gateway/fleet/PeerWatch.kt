package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.monotonicMillis
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Waits for changes of large objects at a VM of the same region instead of the store, so that each change crosses a
 * link between regions once and not once for each VM.
 *
 * @param source selects the VM; null if this one is to watch the store itself.
 */
internal class PeerWatch(private val peers: PeerClient, private val source: () -> VmRecord?) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var unusableUntil = 0L

    /** Waits for a copy of [kind] newer than [revision] of [era]. Returns null if no VM can be watched. */
    suspend fun await(kind: StoreObjectKind, revision: Long, era: Long): StoreReadResult.PeerCopy? {
        while (monotonicMillis() >= unusableUntil) {
            val vm = source() ?: return null
            try {
                val millis = CopyFeed.WAIT_MILLIS + PeerClient.CALL_MILLIS
                val body = peers.get(vm.control, CopyFeedHandler.path(kind, revision, era), millis)
                if (body.isNotEmpty()) return StoreReadResult.PeerCopy(CompressedListing.decode(body), vm.name)
            } catch (e: IOException) {
                failed(vm.name, e.message.orEmpty())
            }
        }
        return null
    }

    /** Records that a change did not come from the VM in time: this VM watches the store itself for a while. */
    fun missed() = failed(source()?.name.orEmpty(), "missed a change")

    private fun failed(vm: String, reason: String) {
        unusableUntil = monotonicMillis() + UNUSABLE_MILLIS
        log.atInfo().addKeyValue("vm", vm).addKeyValue("reason", reason)
            .log("watching the store instead of another VM")
    }

    private companion object {
        const val UNUSABLE_MILLIS = 5_000L
    }
}
