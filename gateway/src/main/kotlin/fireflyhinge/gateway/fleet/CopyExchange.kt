package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.repeatForever
import fireflyhinge.gateway.runLogged
import fireflyhinge.time.Stopwatch
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/**
 * Compares this VM's copies of the store's objects with those of other VMs, and fetches newer ones from them.
 *
 * @param checker selects the VM that checks the store for this one; null if this one does.
 */
internal class CopyExchange(
    private val mirrors: List<StoreMirror>,
    private val peers: PeerClient,
    private val scope: CoroutineScope,
    private val checker: () -> VmRecord?,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val fetching = HashSet<StoreObjectKind>()

    /** Versions of this VM's copies. */
    fun versions(): Map<StoreObjectKind, CopyVersion> = mirrors.associate { it.kind to it.version }

    /** Asks the VM that checks the store whenever a copy has not been confirmed for a while, until cancelled. */
    suspend fun run(): Nothing =
        repeatForever(log, "confirming copies") {
            val oldest = mirrors.maxOf { it.version.ageMillis ?: 0 }
            val vm = checker()
            if (vm != null && oldest >= ASK_AGE_MILLIS) ask(vm.control)
            delay(maxOf(ASK_AGE_MILLIS - oldest, Random.nextLong(MIN_PAUSE_MILLIS, 2 * MIN_PAUSE_MILLIS)))
        }

    private suspend fun ask(address: String) {
        try {
            val call = Stopwatch()
            compare(PeerMessages.exchange(peers.get(address, PATH)).copies, address, call)
        } catch (e: IOException) {
            log.debug("asking {} for its copies failed: {}", address, e.message)
        }
    }

    /** Compares with [theirs], the versions that the VM at [address] returned to [call]. */
    suspend fun compare(theirs: Map<StoreObjectKind, CopyVersion>, address: String, call: Stopwatch) {
        for (mirror in mirrors) {
            val version = theirs[mirror.kind] ?: continue
            if (mirror.compare(version, call.elapsedMillis)) fetch(mirror, address)
        }
    }

    /** Compares with [theirs], the versions that the VM at [address] sent some time ago. */
    fun offer(theirs: Map<StoreObjectKind, CopyVersion>, address: String) {
        // The message may have been delayed, so its ages do not count.
        mirrors
            .filter { mirror -> theirs[mirror.kind]?.let { mirror.compare(it.copy(ageMillis = null)) } ?: false }
            .forEach { scope.launch { runLogged(log, "fetching ${it.kind}") { fetch(it, address) } } }
    }

    private suspend fun fetch(mirror: StoreMirror, address: String) {
        if (!fetching.add(mirror.kind)) return
        try {
            mirror.adopt(PeerMessages.listing(peers.get(address, Gossip.FEED_PATH + mirror.kind.name)), address)
        } catch (e: IOException) {
            log.debug("fetching {} from {} failed: {}", mirror.kind, address, e.message)
        } finally {
            fetching.remove(mirror.kind)
        }
    }

    companion object {
        /** Path of the control interface. */
        const val PATH = "/peer/v1/copies"

        /** Leaves time for the response before this VM has to ask the store itself. */
        private const val ASK_AGE_MILLIS = 1_400L
        private const val MIN_PAUSE_MILLIS = 250L
    }
}
