package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectCache
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Offers this VM's copy of the store's objects of one kind to other VMs that wait for changes.
 *
 * @param onBehind called once for each newer version that another VM has.
 */
internal class CopyFeed(private val onBehind: () -> Unit = {}) {
    private var newest = CopyVersion(0)
    private val latest = MutableStateFlow<Pair<CopyVersion, StoreObjectCache>?>(null)
    private var encodedVersion = CopyVersion(0)
    private var encoded = ByteArray(0)

    /** Offers [copy], which has changed. */
    fun publish(copy: StoreObjectCache) {
        latest.value = CopyVersion(copy.revision, era = copy.era) to copy
    }

    /** Waits up to [WAIT_MILLIS] for a copy newer than [version]. Returns it encoded, or null if there is none. */
    suspend fun await(version: CopyVersion): ByteArray? {
        compare(version)
        return withTimeoutOrNull(WAIT_MILLIS) { latest.first { it != null && it.first.newerThan(version) } }
            ?.let { (newer, copy) -> encode(newer, copy) }
    }

    private fun compare(theirs: CopyVersion) {
        val own = latest.value?.first ?: return
        if (!theirs.newerThan(own) || !theirs.newerThan(newest)) return
        newest = theirs
        onBehind()
    }

    /** Many VMs ask for the same copy at once. */
    private fun encode(version: CopyVersion, copy: StoreObjectCache): ByteArray {
        if (version != encodedVersion) {
            encoded = CompressedListing.encode(copy.listing())
            encodedVersion = version
        }
        return encoded
    }

    companion object {
        /** Short, so that a VM that no longer responds is noticed soon. */
        const val WAIT_MILLIS = 2_000L
    }
}
