package fireflyhinge.daemon.membership

import fireflyhinge.config.ConfigDigest
import fireflyhinge.membership.GossipExchange
import fireflyhinge.membership.GossipMessage
import fireflyhinge.membership.IsolationDetector
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberTable
import fireflyhinge.membership.MemberUpdates
import fireflyhinge.membership.PeerSelector
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
    private val isolation = IsolationDetector(table, startedAt = clock.millis())
    private val exchange = GossipExchange(table, updates, random)

    fun <T> read(action: (MemberTable, Long) -> T): T = locked { now -> action(table, now) }

    fun update(action: (MemberUpdates, Long) -> Unit) = locked { now -> action(updates, now) }

    /** Runs [action] with the isolation rule and the present time. */
    fun <T> isolation(action: (IsolationDetector, Long) -> T): T = locked { now -> action(isolation, now) }

    fun updateSelf(change: (Member) -> Member) = synchronized(lock) { table.updateSelf(change = change) }

    fun choosePeers(): Set<String> = locked { now -> PeerSelector.choose(table, now, random) }

    fun opening(peer: String, config: ConfigDigest): GossipMessage =
        locked { now -> exchange.opening(peer, config, now) }

    fun answer(message: GossipMessage, config: ConfigDigest): GossipMessage =
        locked { now -> exchange.reply(message, config, now) }

    fun onAnswer(peer: String, answer: GossipMessage, config: ConfigDigest): GossipMessage? =
        locked { now -> exchange.onReply(peer, answer, config, now) }

    private inline fun <T> locked(action: (Long) -> T): T =
        synchronized(lock) {
            val now = clock.millis()
            isolation.check(now)
            action(now)
        }
}
