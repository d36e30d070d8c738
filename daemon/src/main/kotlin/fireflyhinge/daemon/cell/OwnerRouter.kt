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

/** Sends messages to the owner of a cell: by a local call if this daemon acts for the cell, else over HTTP. */
class OwnerRouter(
    private val cells: CellService,
    private val ownership: ShardOwnership,
    private val membership: Membership,
    private val transport: PeerTransport,
) {
    /** This daemon's region. */
    internal val region: String get() = membership.self().region

    /** Reply of the owner, or null if none came. [failures] counts the earlier attempts without a reply. */
    internal fun place(
        address: CellAddress,
        request: PlaceRequest,
        failures: Int,
        executor: Executor,
    ): CompletableFuture<PlaceReply?> {
        if (isLocal(address)) return cells.requestPlacement(request).thenApply { it }
        val vm = target(address, failures) ?: return CompletableFuture.completedFuture(null)
        return CompletableFuture.supplyAsync(
            { post(vm, CellService.PLACE_PATH, request, PLACE_TIMEOUT_MILLIS) },
            executor
        )
    }

    /** Reply of the owner to [batch], or null if none came. */
    internal fun updateTickets(address: CellAddress, batch: TicketBatch, failures: Int): TicketReply? {
        if (isLocal(address)) return cells.updateTickets(batch)
        val vm = target(address, failures) ?: return null
        return post(vm, CellService.TICKETS_PATH, batch, TICKETS_TIMEOUT_MILLIS)
    }

    /** Whether this daemon acts for the cell. */
    internal fun isLocal(address: CellAddress) = address.region == region && cells.actsFor(address.cell)

    /** The owner first; after a failure also its successor, which may have taken over unknown to this daemon. */
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

    private inline fun <reified T : Any> post(vm: String, path: String, message: Any, timeoutMillis: Long): T? =
        (transport.post(vm, path, message, T::class.java, timeoutMillis) as? PeerResult.Ok)?.value

    private companion object {
        const val PLACE_TIMEOUT_MILLIS = 3_000L

        /** Short enough to renew with the successor before the tickets expire when the owner does not answer. */
        const val TICKETS_TIMEOUT_MILLIS = 1_500L
    }
}
