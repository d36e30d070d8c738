package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import java.io.IOException

/** Client of the platform's store. Every call is priced and counts against a rate limit. */
interface PlatformStore {
    /** The known era of the store, which every response states. */
    val era: KnownEra

    /** All objects of [kind]. */
    suspend fun list(kind: StoreObjectKind): StoreReadResult

    /** Waits up to [waitMillis] for changes of [kind] after [revision]. Calls [onBegin] when the response begins. */
    suspend fun watch(
        kind: StoreObjectKind,
        revision: Long,
        waitMillis: Long,
        onBegin: () -> Unit = {},
    ): StoreReadResult

    /** Spec of object [name] of [kind], or null if there is none. Throws [IOException] if the store does not tell. */
    suspend fun find(kind: StoreObjectKind, name: String): String?

    /** Writes object [name] of [kind] whatever it holds, in one call if it exists. Returns whether it is confirmed. */
    suspend fun replace(kind: StoreObjectKind, name: String, body: String): Boolean

    /** Writes object [name] of [kind], which belongs to this system. Returns whether the store confirmed the write. */
    suspend fun put(kind: StoreObjectKind, name: String, body: String): Boolean

    /** Removes object [name] of [kind]. Returns whether it is gone. */
    suspend fun remove(kind: StoreObjectKind, name: String): Boolean

    /** Writes the entry of a VM, so that other VMs can discover it. Returns whether the store confirmed the write. */
    suspend fun register(record: VmRecord): Boolean
}
