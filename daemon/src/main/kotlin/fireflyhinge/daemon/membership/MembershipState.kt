package fireflyhinge.daemon.membership

import fireflyhinge.config.ConfigDigest
import fireflyhinge.membership.GossipExchange
import fireflyhinge.membership.GossipMessage
import fireflyhinge.membership.IsolationRule
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberTable
import fireflyhinge.membership.MemberUpdates
import fireflyhinge.membership.PeerChoice
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import kotlin.random.Random

/** The member table with its rules under one lock, and the clock from which they take the time. */
internal class MembershipState(self: Member, private val clock: MonotonicClock, private val random: Random) {
    /** Id of this VM. */
    val selfId: String = self.id
    private val lock = Any()
    private val table = MemberTable(self)
    private val updates = MemberUpdates(table)
    private val isolation = IsolationRule(table, startedAt = clock.millis())
    private val exchange = GossipExchange(table, updates, random)

    fun <T> read(action: (MemberTable, Long) -> T): T = synchronized(lock) { action(table, clock.millis()) }

    fun update(action: (MemberUpdates, Long) -> Unit) = synchronized(lock) { action(updates, clock.millis()) }

    fun isolated(): Boolean = synchronized(lock) { isolation.isolated(clock.millis()) }

    fun heardEnough(): Boolean = synchronized(lock) { isolation.heardEnough(clock.millis()) }

    fun onStoreReached() = synchronized(lock) { isolation.onStoreReached(clock.millis()) }

    fun updateSelf(change: (Member) -> Member) = synchronized(lock) { table.updateSelf(change = change) }

    fun choosePeers(): Set<String> = synchronized(lock) { PeerChoice.choose(table, clock.millis(), random) }

    fun opening(peer: String, config: ConfigDigest): GossipMessage =
        synchronized(lock) { exchange.opening(peer, config, clock.millis()) }

    fun answer(message: GossipMessage, config: ConfigDigest): GossipMessage =
        synchronized(lock) { exchange.answer(message, config, clock.millis()) }

    fun onAnswer(peer: String, answer: GossipMessage, config: ConfigDigest): GossipMessage? =
        synchronized(lock) { exchange.onAnswer(peer, answer, config, clock.millis()) }
}
