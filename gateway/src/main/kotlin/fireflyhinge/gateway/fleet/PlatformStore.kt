package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord

/** The platform's store, as far as this system uses it. Every call is priced and counts against its rate. */
interface PlatformStore {
    /** All objects of [kind]. */
    suspend fun list(kind: StoreObjectKind): StoreReadResult

    /** Waits up to [waitMillis] for changes of [kind] after [revision]. */
    suspend fun watch(kind: StoreObjectKind, revision: Long, waitMillis: Long): StoreReadResult

    /** Writes the entry of a VM, so that others find it. Returns whether the store confirmed it. */
    suspend fun register(record: VmRecord): Boolean
}
