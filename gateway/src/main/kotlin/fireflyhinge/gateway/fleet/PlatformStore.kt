package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FeedAnswer
import fireflyhinge.forward.FeedKind
import fireflyhinge.forward.VmRecord

/** The platform's store, as far as this system uses it. Every call is priced and counts against its rate. */
interface PlatformStore {
    /** All objects of [kind]. */
    suspend fun list(kind: FeedKind): FeedAnswer

    /** Waits up to [waitMillis] for changes of [kind] after [revision]. */
    suspend fun watch(kind: FeedKind, revision: Long, waitMillis: Long): FeedAnswer

    /** Writes the entry of a VM, so that others find it. Returns whether the store confirmed it. */
    suspend fun register(record: VmRecord): Boolean
}
