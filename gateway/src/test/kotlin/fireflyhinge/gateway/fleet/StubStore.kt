package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import kotlinx.coroutines.awaitCancellation

/** Store that answers no lists and watches, holds no objects and confirms no writes, but for what a test overrides. */
internal open class StubStore : PlatformStore {
    override val era = KnownEra()

    override suspend fun list(kind: StoreObjectKind): StoreReadResult = awaitCancellation()

    override suspend fun watch(
        kind: StoreObjectKind,
        revision: Long,
        waitMillis: Long,
        onBegin: () -> Unit,
    ): StoreReadResult = awaitCancellation()

    override suspend fun find(kind: StoreObjectKind, name: String): String? = null

    override suspend fun replace(kind: StoreObjectKind, name: String, body: String) = false

    override suspend fun register(record: VmRecord) = false

    override suspend fun put(kind: StoreObjectKind, name: String, body: String) = false

    override suspend fun remove(kind: StoreObjectKind, name: String) = false
}
