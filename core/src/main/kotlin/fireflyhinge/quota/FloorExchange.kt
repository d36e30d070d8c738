package fireflyhinge.quota

import fireflyhinge.lease.LeasePayload
import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.time.MonotonicClock
import java.util.concurrent.atomic.AtomicLong

/**
 * Sends the floors of quota buckets from owners to successors, so that a takeover does not start with empty buckets.
 *
 * @param shardOf the quota state of a shard number.
 * @param limitsOf limits of the workspaces of a shard at a monotonic time in nanoseconds, by workspace name.
 * @param actingEpoch epoch under which this process acts as the owner of a shard, or null.
 */
class FloorExchange(
    private val shardOf: (Int) -> QuotaShard,
    private val limitsOf: (Int, Long) -> Map<String, QuotaLimits>,
    private val actingEpoch: (Int) -> Long?,
    private val clock: MonotonicClock,
) : LeasePayload {
    private val sequence = AtomicLong()

    override fun attach(request: LeaseRequest): LeaseRequest {
        val number = sequence.incrementAndGet()
        val floors =
            request.shards.mapNotNull { (shard, epoch) -> floors(shard, epoch, number)?.let { shard to it } }.toMap()
        return request.copy(sequence = number, floors = floors)
    }

    private fun floors(shard: Int, entryEpoch: Long, number: Long): Map<String, Long>? {
        val now = clock.nanos()
        val epoch = actingEpoch(shard) ?: return null
        val state = shardOf(shard)
        state.open(epoch, clock.nanos())
        return state.floors(limitsOf(shard, now), epoch, entryEpoch, number, now)
    }

    override fun received(request: LeaseRequest, reply: LeaseReply) =
        request.floors.filterKeys { it in reply.promised }.forEach { (shard, floors) ->
            shardOf(shard).storeFloors(ReceivedFloors(request.shards.getValue(shard), request.sequence, floors))
        }

    override fun acknowledged(request: LeaseRequest, reply: LeaseReply) =
        request.floors.keys.filter { it in reply.promised }.forEach { shard ->
            shardOf(shard).acknowledged(request.shards.getValue(shard), request.sequence)
        }
}
