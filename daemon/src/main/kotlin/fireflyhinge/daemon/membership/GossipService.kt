package fireflyhinge.daemon.membership

import fireflyhinge.config.ConfigDigest
import fireflyhinge.config.ConfigDigestSource
import fireflyhinge.membership.GossipMessage
import fireflyhinge.membership.Member
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.Store
import fireflyhinge.time.MonotonicClock
import kotlin.random.Random

/**
 * This VM's membership: once a second it exchanges news with two random peers and reads the VM list when it is due.
 * Call [attach] before [start].
 *
 * @param openRequests caller requests in flight.
 */
class GossipService(
    settings: GossipSettings,
    store: Store,
    peers: PeerTransport,
    clock: MonotonicClock = MonotonicClock.SYSTEM,
    random: Random = Random.Default,
    private val openRequests: () -> Int = { 0 },
) : Membership,
    AutoCloseable {
    private val state = MembershipState(settings.self, clock, random)
    private val vmList = VmListReader(store, state, clock)
    private val exchanges = GossipExchanges(settings.timeoutMillis, state, peers) { config }
    private val loop = GossipLoop(settings, state, random, round = ::beforeRound, exchange = exchanges::exchange)

    @Volatile
    private var config: ConfigDigestSource = NoConfig

    /** Handler of `POST /peer/v1/gossip`. */
    val endpoint = PeerEndpoint(GossipExchanges.PATH, GossipMessage::class.java, exchanges::onMessage)

    /** Changes to the table that other parts of the daemon report. */
    val reports = MembershipReports(state)

    /** Carries the digest of [source] in gossip and tells it about differences. */
    fun attach(source: ConfigDigestSource) {
        config = source
    }

    /** Starts the rounds. The control listener must be open: from then on no earlier process of this VM runs. */
    fun start() {
        state.read { table, now -> table.listeningSince = now }
        loop.start()
    }

    override fun self(): Member = checkNotNull(member(state.selfId))

    override fun members(): List<Member> = state.read { table, now -> table.view(now) }.map(::withIsolation)

    override fun member(id: String): Member? = state.read { table, now -> table.view(id, now) }?.let(::withIsolation)

    override fun isolated(): Boolean = state.isolation { rule, now -> rule.isolated(now) }

    override fun deadBy(vm: String, incarnation: Long): Long? =
        state.read { table, _ -> table.deadBy(vm, incarnation) }

    override fun close() = loop.close()

    /** The table has the isolation of the last round; address answers must not name a VM that refuses by now. */
    private fun withIsolation(member: Member): Member =
        if (member.id == state.selfId) member.copy(isolated = isolated()) else member

    private fun beforeRound() {
        vmList.readIfDue()
        val isolated = isolated()
        val digest = config.digest().toString()
        state.updateSelf { it.copy(openRequests = openRequests(), isolated = isolated, configDigest = digest) }
    }

    private object NoConfig : ConfigDigestSource {
        override fun digest() = ConfigDigest()

        override fun onMismatch(peer: String) = Unit
    }
}
