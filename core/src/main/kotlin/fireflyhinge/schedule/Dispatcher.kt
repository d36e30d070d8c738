package fireflyhinge.schedule

import fireflyhinge.peer.PlaceReply

/** Places waiting requests in fair order while the policy finds room. */
internal class Dispatcher(
    private val policy: PlacementPolicy,
    private val replicas: CellReplicas,
    private val queue: FairQueue,
    private val book: TicketTable,
    private val epoch: Long,
) {
    /** Places what can be placed at [now]; the new tickets. */
    fun dispatch(now: Long): Map<QueueEntry, Ticket> {
        val placed = LinkedHashMap<QueueEntry, Ticket>()
        val skipped = HashSet<String>()
        var entry = queue.next(skipped)
        while (entry != null) {
            when (val choice = policy.choose(entry.request, replicas, now)) {
                is PlacementChoice.Place -> placed[entry] = bind(entry, choice, now)
                PlacementChoice.WaitThis -> skipped += entry.id
                PlacementChoice.WaitAll -> return placed
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
                importAt = choice.transferStart + choice.transferMillis,
                believedCached = choice.cachedTokens,
            )
        queue.take(entry)
        replicas.bind(ticket, choice, now)
        book.renew(ticket, now)
        return ticket
    }
}
