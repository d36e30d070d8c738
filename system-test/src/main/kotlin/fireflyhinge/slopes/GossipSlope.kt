package fireflyhinge.slopes

import fireflyhinge.Json
import fireflyhinge.config.ConfigDigest
import fireflyhinge.membership.GossipExchange
import fireflyhinge.membership.GossipMessage
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberTable
import fireflyhinge.membership.MemberUpdates
import fireflyhinge.membership.PeerSelector
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Bytes of a gossip exchange and processor time of a daemon's round, by the number of members. */
internal class GossipSlope(private val size: Int) {
    private val random = Random(size)
    private val digest = ConfigDigest(count = 10_000, sum = 1_000_000, hash = random.nextLong())
    private val tables = List(size) { MemberTable(member(it)) }
    private val sides = tables.take(2).map { GossipExchange(it, MemberUpdates(it), random) }

    /** One line with the means over the measured rounds. */
    fun run(): String {
        val members = tables.map { it.self }
        tables.take(2).forEach { table -> members.forEach { MemberUpdates(table).merge(it, now = 0) } }
        repeat(WARM_ROUNDS) { round(it) }
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        val bytes = (1..ROUNDS).sumOf { round(WARM_ROUNDS + it) }
        val micros = (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / ROUNDS
        return "members $size: opening + answer ${bytes / ROUNDS} B, processor $micros us for both sides"
    }

    /** One exchange between two daemons, encoded and decoded as on the wire. Returns its bytes. */
    private fun round(number: Int): Int {
        val now = number * ROUND_MILLIS
        val config = digest
        tables[0].updateSelf()
        PeerSelector.choose(tables[0], now, random)
        val opening = Json.encode(sides[0].opening(peer = "vm-1", config, now))
        val answer = Json.encode(sides[1].reply(Json.decode<GossipMessage>(opening), config, now))
        sides[0].onReply(peer = "vm-1", Json.decode(answer), config, now)
        return if (number < WARM_ROUNDS) 0 else opening.toByteArray().size + answer.toByteArray().size
    }

    private fun member(number: Int) =
        Member(
            id = "vm-$number",
            region = "region-${number % REGIONS}",
            failureDomain = "domain-${number % DOMAINS}",
            callerAddress = "10.0.0.1:8080",
            controlAddress = "10.0.0.1:8081",
            incarnation = INCARNATION + number,
            heartbeat = 1_000,
        )

    private companion object {
        const val WARM_ROUNDS = 200
        const val ROUNDS = 500
        const val ROUND_MILLIS = 1_000L
        const val NANOS_PER_MICRO = 1_000
        const val REGIONS = 6
        const val DOMAINS = 13
        const val INCARNATION = 1_700_000_000_000L
    }
}
