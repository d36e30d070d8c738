package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.gateway.http.monotonicMillis

/** Compares this VM's copies of the store's objects with those of other VMs, and fetches newer ones from them. */
internal class CopyExchange(private val mirrors: List<StoreMirror>, private val peers: PeerClient) {
    private val fetching = HashSet<StoreObjectKind>()

    /** Versions of this VM's copies. */
    fun versions(): Map<StoreObjectKind, CopyVersion> = mirrors.associate { it.kind to it.version }

    /** Compares with [theirs], the versions that the VM at [address] returned to a call made at [calledAtMillis]. */
    suspend fun compare(theirs: Map<StoreObjectKind, CopyVersion>, address: String, calledAtMillis: Long) {
        for (mirror in mirrors) {
            val version = theirs[mirror.kind] ?: continue
            if (mirror.compare(version, monotonicMillis() - calledAtMillis)) fetch(mirror, address)
        }
    }

    private suspend fun fetch(mirror: StoreMirror, address: String) {
        if (!fetching.add(mirror.kind)) return
        try {
            mirror.adopt(PeerMessages.listing(peers.get(address, Gossip.FEED_PATH + mirror.kind.name)), address)
        } finally {
            fetching.remove(mirror.kind)
        }
    }
}
