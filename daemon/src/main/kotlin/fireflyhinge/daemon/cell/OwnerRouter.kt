package fireflyhinge.daemon.cell

import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.TicketBatch
import fireflyhinge.peer.TicketReply
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor

/** Sends messages to the owner of a cell: a call in this process when it acts itself, else HTTP. */
class OwnerRouter(
    private val cells: CellService,
    private val ownership: ShardOwnership,
    private val membership: Membership,
    private val transport: PeerTransport,
) {
    /** This daemon's region. */
    internal val region: String get() = membership.self().region

    /** Answer of the owner, or null if none came. [failures] counts earlier questions without an answer. */
    internal fun place(
        address: CellAddress,
        request: PlaceRequest,
        failures: Int,
        executor: Executor,
    ): CompletableFuture<PlaceReply?> {
        if (isLocal(address)) return cells.ask(request).thenApply { it }
        val vm = target(address, failures) ?: return CompletableFuture.completedFuture(null)
        return CompletableFuture.supplyAsync({ post(vm, CellService.PLACE_PATH, request, PLACE_MILLIS) }, executor)
    }

    /** Answer of the owner to [batch], or null if none came. */
    internal fun tickets(address: CellAddress, batch: TicketBatch, failures: Int): TicketReply? {
        if (isLocal(address)) return cells.tickets(batch)
        return target(address, failures)?.let { post<TicketReply>(it, CellService.TICKETS_PATH, batch, TICKETS_MILLIS) }
    }

    /** Whether this daemon acts for the cell itself. */
    internal fun isLocal(address: CellAddress) = address.region == region && cells.acts(address.cell)

    /** The owner first; after a failure also its successor, which may have taken over without our knowing yet. */
    private fun target(address: CellAddress, failures: Int): String? {
        val shard = ownership.shardOf(address.cell.toString())
        val self = membership.self().id
        val candidates =
            listOfNotNull(
                ownership.ownerOf(address.region, shard),
                ownership.successorOf(address.region, shard),
            ).distinct().filter { it != self }
        return if (candidates.isEmpty()) null else candidates[failures % candidates.size]
    }

    private inline fun <reified T : Any> post(vm: String, path: String, message: Any, millis: Long): T? =
        (transport.post(vm, path, message, T::class.java, millis) as? PeerResult.Ok)?.value

    private companion object {
        const val PLACE_MILLIS = 3_000L

        /** Short, so that a silent owner leaves time to renew with its successor before the tickets expire. */
        const val TICKETS_MILLIS = 1_500L
    }
}
