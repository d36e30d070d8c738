package fireflyhinge.daemon.quota

import fireflyhinge.config.ConfigSource
import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.daemon.lease.RegionShards
import fireflyhinge.lease.LeasePayload
import fireflyhinge.lease.ShardOwnership
import fireflyhinge.membership.Membership
import fireflyhinge.peer.Accepted
import fireflyhinge.peer.BorrowReply
import fireflyhinge.peer.BorrowRequest
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerTransport
import fireflyhinge.peer.SettleRequest
import fireflyhinge.quota.FloorExchange
import fireflyhinge.quota.QuotaShard
import fireflyhinge.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * The quota buckets of the shards that this daemon owns.
 * Quota is divided over the regions that have a shard map.
 */
class QuotaService(
    private val ownership: ShardOwnership,
    private val membership: Membership,
    transport: PeerTransport,
    config: ConfigSource,
    private val regionShards: RegionShards,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : AutoCloseable {
    private val region = membership.self().region
    private val limits = LimitSource(config, region, regionShards::regions)
    private val shards = ConcurrentHashMap<Int, QuotaShard>()
    private val borrower = Borrower(ownership, transport, clock, region, regionShards::regions)
    private val floors =
        FloorExchange(
            shardOf = ::shard,
            limitsOf = { number, now -> limits.all(now) { QuotaKeys.shardOf(ownership, it) == number } },
            actingEpoch = ownership::actingEpoch,
            clock = clock,
        )
    private val lastRenewalAt = AtomicLong(clock.nanos())
    private val opener =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "quota-opener").apply { isDaemon = true } }

    /** Endpoints for requesters and for the quota owners in other regions. */
    val endpoints: List<PeerEndpoint<*>> =
        listOf(
            PeerEndpoint("/peer/v1/charge", ChargeRequest::class.java, ::charge),
            PeerEndpoint("/peer/v1/settle", SettleRequest::class.java, ::settle),
            PeerEndpoint("/peer/v1/borrow", BorrowRequest::class.java, ::lend),
            PeerEndpoint("/peer/v1/crash", CrashReport::class.java, ::recordCrash),
        )

    /** Bucket floors that lease requests carry, so that a successor does not start with empty buckets. */
    val payload: LeasePayload get() = floors

    /** Charges [request] if this daemon may act for its workspace. */
    fun charge(request: ChargeRequest): ChargeReply {
        val number = QuotaKeys.shardOf(ownership, request.workspace)
        val now = clock.nanos()
        val epoch = ownership.actingEpoch(number) ?: return notOwner(number)
        val limit = limits.of(request.workspace, now) ?: return ChargeReply.NotOwner(owner = null)
        val shard = openShard(number, epoch)
        val reply = shard.charge(request, limit, epoch, now) ?: return notOwner(number)
        if (shard.takeFloorUpdateRequest() && acquireRenewal(now)) regionShards.renew()
        if (reply.lacksTokens()) {
            borrower.borrow(request.workspace, number, request.tokens) { tokens ->
                shard.addBorrowed(request.workspace, tokens, epoch, clock.nanos())
            }
        }
        return reply
    }

    /** Starts the task that opens the epochs of acquired shards, so that tokens accrue before the first charge. */
    fun start() {
        val task =
            LoopTask("quota opener") {
                regionShards.actingShards.forEach { number ->
                    ownership.actingEpoch(number)?.let { openShard(number, it) }
                }
            }
        opener.scheduleWithFixedDelay(task, 0, OPEN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Refunds the unused part of a charge. */
    fun settle(request: SettleRequest): Accepted {
        val shard = shards[QuotaKeys.shardOf(ownership, request.workspace)] ?: return Accepted(accepted = false)
        shard.settle(request, clock.nanos())
        return Accepted()
    }

    /** Records a replica crash. The successor records it too, so that suspect fingerprints outlive the owner. */
    fun recordCrash(report: CrashReport): Accepted {
        shard(QuotaKeys.shardOf(ownership, report.workspace)).recordCrash(report, clock.nanos())
        return Accepted()
    }

    private fun lend(request: BorrowRequest): BorrowReply {
        val number = QuotaKeys.shardOf(ownership, request.workspace)
        val now = clock.nanos()
        val epoch = ownership.actingEpoch(number)
        val limit = limits.of(request.workspace, now)
        if (epoch == null || limit == null) return BorrowReply(tokens = 0.0)
        return BorrowReply(openShard(number, epoch).lend(request.workspace, request.tokens, limit, epoch, now))
    }

    private fun acquireRenewal(now: Long): Boolean {
        val last = lastRenewalAt.get()
        return now - last >= MIN_RENEWAL_INTERVAL_NANOS && lastRenewalAt.compareAndSet(last, now)
    }

    private fun notOwner(number: Int) =
        ChargeReply.NotOwner(owner = ownership.ownerOf(region, number).takeIf { it != membership.self().id })

    private fun shard(number: Int): QuotaShard = shards.computeIfAbsent(number) { QuotaShard() }

    private fun openShard(number: Int, epoch: Long) = shard(number).also { it.open(epoch, clock.nanos()) }

    override fun close() {
        opener.shutdown()
        borrower.close()
    }

    private companion object {
        const val OPEN_INTERVAL_MILLIS = 200L

        /** Limits the extra lease requests for a bucket near its floor, which may be charged at a much higher rate. */
        const val MIN_RENEWAL_INTERVAL_NANOS = 25_000_000L
    }
}

/** Whether the bucket has fewer tokens than were requested. */
private fun ChargeReply.lacksTokens(): Boolean =
    this is ChargeReply.RateExceeded || (this is ChargeReply.Granted && waitMillis > 0)
