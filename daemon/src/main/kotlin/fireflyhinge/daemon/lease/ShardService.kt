package fireflyhinge.daemon.lease

import fireflyhinge.lease.LeasePayload
import fireflyhinge.lease.LeaseStateMachine
import fireflyhinge.lease.ShardHash
import fireflyhinge.lease.ShardLeases
import fireflyhinge.lease.ShardOwnership
import fireflyhinge.lease.process
import fireflyhinge.membership.Membership
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.Store
import fireflyhinge.store.StoredObject
import fireflyhinge.time.MonotonicClock
import org.slf4j.LoggerFactory

/**
 * Ownership of the shards of this daemon's region, kept by pair leases, and copies of all regions' shard maps.
 *
 * [start] starts the loop. [close] stops it and must come before the control listener is closed, because a refused
 * connection counts as evidence that this process no longer acts.
 */
class ShardService(
    private val membership: Membership,
    transport: PeerTransport,
    store: Store,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val settings: ShardSettings = ShardSettings(),
) : ShardOwnership, RegionShards, AutoCloseable {
    private val self = membership.self()
    private val book =
        LockedBook(
            LeaseStateMachine(self.process, self.region, settings.shardCount, clock.nanos(), settings.times),
            clock,
        )
    private val maps = ShardMaps()
    private val traffic = LeaseTraffic(book, transport, clock)
    private val mapStore = MapStore(store, self.region)
    private val keeper = MapKeeper(store = mapStore, book = book, clock = clock, learn = ::learn)
    private val loop = LeaseLoop(pass = ::pass)
    private val shardLog = ShardLog()

    /** Whether all shards are being handed to their successors; done when [actingShards] is empty. */
    @Volatile
    var draining = false

    /** What lease requests carry. Set before [start]. */
    var payload: LeasePayload by traffic::payload

    @Volatile
    private var stopped = false

    /** Endpoint that answers owners' lease requests. */
    val endpoints: List<PeerEndpoint<*>> =
        listOf(
            PeerEndpoint("/peer/v1/lease", LeaseRequest::class.java, traffic::handle),
        )

    /** Shards of each region. */
    val shardCount: Int get() = settings.shardCount

    /** Newest known shard map objects of all regions, for gossip. */
    val mapObjects: List<StoredObject> get() = maps.objects

    override val leases: ShardLeases =
        HeldLeases(
            mapRead = { keeper.lastRead },
            refresh = ::refresh,
            lease = { shard -> if (stopped) null else book.use { now -> leases.of(shard, now) } },
        )

    override val regions: Set<String> get() = maps.regions

    override val actingShards: List<Int> get() = (0 until settings.shardCount).filter { actingEpoch(it) != null }

    /** Starts the loop thread. */
    fun start() = loop.start()

    /** Stops acting and stops the loop. */
    override fun close() {
        stopped = true
        loop.close()
        traffic.close()
        mapStore.close()
    }

    /** Takes a copy of a shard map, for example from gossip; older copies and other objects are ignored. */
    fun learn(copy: StoredObject) {
        val newer = maps.learn(copy) ?: return
        if (newer.map.region != self.region) return
        book.use { now ->
            val before = this.knownMap
            if (learn(newer, now)) shardLog.learned(before, newer)
        }
    }

    /** Reads the maps from the store at the next pass of the loop, for example after a `not_owner` answer. */
    fun refresh() {
        keeper.refreshWanted = true
    }

    override fun shardOf(key: String): Int = ShardHash.shardOf(key, settings.shardCount)

    override fun actingEpoch(shard: Int): Long? = if (stopped) null else book.use { now -> actingEpoch(shard, now) }

    /** While the store is down the map still names a dead owner, whose successor acts without a write. */
    override fun ownerOf(region: String, shard: Int): String? {
        val entry = maps.entry(region, shard) ?: return null
        val dead = membership.provenDead(entry.owner.vm, entry.owner.incarnation)
        return (entry.successor?.takeIf { dead } ?: entry.owner).vm
    }

    override fun successorOf(region: String, shard: Int): String? = maps.entry(region, shard)?.successor?.vm

    private fun pass() {
        val view = RegionViews.of(membership, draining)
        shardLog.candidates(view)
        // An operator may have fenced this VM: others count it as dead and act.
        if (!stopped && view.dead(self.process)) {
            log.warn("this process counts as dead, for example because its VM is fenced; it stops acting")
            stopped = true
        }
        book.use { now -> tick(view, mapStore.answers, now) }
        if (stopped) return
        traffic.send(view, loop.renewalDue())
        mapStore.run { keeper.pass(view) }
    }

    override fun renew() {
        if (!stopped) traffic.send(RegionViews.of(membership, draining), all = true)
    }

    private companion object {
        val log = LoggerFactory.getLogger(ShardService::class.java)
    }
}
