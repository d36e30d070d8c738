package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply

/** Places waiting requests in fair order until the policy finds no free capacity. */
internal class Dispatcher(
    private val policy: PlacementPolicy,
    private val replicas: CellReplicas,
    private val queue: FairQueue,
    private val tickets: TicketTable,
    private val epoch: Long,
) {
    /** Places all requests that can be placed at [now] and returns their tickets. */
    fun dispatch(now: Long): Map<QueueEntry, Ticket> {
        val placed = LinkedHashMap<QueueEntry, Ticket>()
        val skipped = HashSet<String>()
        var entry = queue.next(skipped)
        while (entry != null) {
            when (val choice = policy.choose(entry.request, replicas, now)) {
                is PlacementChoice.Place -> placed[entry] = bind(entry, choice, now)
                PlacementChoice.DeferRequest -> skipped += entry.id
                PlacementChoice.DeferAll -> return placed
            }
            entry = queue.next(skipped)
        }
        return placed
    }

    private fun bind(entry: QueueEntry, choice: PlacementChoice.Place, now: Long): Ticket {
        val placed =
            PlaceReply.Placed(
                ticket = entry.id,
                epoch = epoch,
                prefillReplica = choice.prefill.name,
                prefillAddress = choice.prefill.upstream.address,
                decodeReplica = choice.decode.name,
                decodeAddress = choice.decode.upstream.address,
            )
        val ticket =
            Ticket(
                request = entry.request,
                placed = placed,
                decodeStartAt = choice.transferStart + choice.transferMillis,
                estimatedCachedTokens = choice.cachedTokens,
            )
        queue.take(entry)
        replicas.bind(ticket, choice, now)
        tickets.renew(ticket, now)
        return ticket
    }
}
