package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectFailed
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/** Exchanges news with other VMs and fetches newer copies of the store's objects from them. */
internal class Gossip(
    private val fleet: FleetView,
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val feeds: List<Feed>,
    private val seeds: () -> List<String>,
    private val ready: () -> Boolean,
    private val table: ReplicaTable,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var round = 0L
    private var seedNumber = 0

    /** Exchanges that were answered; none means that this VM may not know the others yet. */
    var answered = 0
        private set

    /** Exchanges until cancelled. */
    suspend fun run() {
        while (true) {
            round()
            delay(ROUND_MILLIS * 3 / 4 + Random.nextLong(ROUND_MILLIS / 2))
        }
    }

    private suspend fun round() {
        fleet.beat(ready(), table.tokens())
        feeds.forEach { it.settle() }
        round++
        partner()?.let { exchange(it) }
    }

    /** Tells the state of this VM to all others at once; used when it begins or stops to take requests. */
    suspend fun announce() {
        fleet.beat(ready(), table.tokens())
        fleet.live().take(MOST_TOLD).forEach { exchange(it.control) }
    }

    /** Mostly VMs of the own region: the link between regions is narrow. Seeds are asked while nobody is known. */
    private fun partner(): String? {
        val known = fleet.all().filter { it.name != fleet.self.name }
        if (known.isEmpty() || round % SEED_ROUNDS == 0L) {
            val others = seeds().filter { it != fleet.self.control }
            if (others.isNotEmpty() && (known.isEmpty() || known.none { it.control in others })) {
                return others[seedNumber++ % others.size]
            }
        }
        val local = known.filter { domains.distance(it.failureDomain) < 2 }
        val pool = if (round % REMOTE_ROUNDS == 0L || local.isEmpty()) known else local
        return pool.randomOrNull()?.control
    }

    private suspend fun exchange(address: String) {
        try {
            val answer = PeerMessages.exchange(peers.post(address, EXCHANGE_PATH, PeerMessages.encode(own())))
            answered++
            take(answer, address)
        } catch (e: ConnectFailed) {
            if (e.refused) fleet.all().find { it.control == address }?.let { fleet.refused(it.name) }
            log.debug("an exchange failed: {}", e.message)
        } catch (e: IOException) {
            log.debug("an exchange failed: {}", e.message)
        }
    }

    /** What this VM tells others. */
    fun own() = PeerExchange(fleet.all(), feeds.associate { it.kind to it.revision })

    /** Another VM sent [theirs] and gets the answer. */
    fun received(theirs: PeerExchange): PeerExchange {
        merge(theirs)
        return own()
    }

    private fun merge(theirs: PeerExchange) {
        fleet.merge(theirs.vms)
        table.othersHave(fleet.othersTokens())
    }

    private suspend fun take(theirs: PeerExchange, address: String) {
        merge(theirs)
        for (feed in feeds) {
            if (!feed.behind(theirs.revisions[feed.kind] ?: 0)) continue
            feed.adopt(PeerMessages.listing(peers.get(address, FEED_PATH + feed.kind.name)), address)
        }
    }

    /**
     * Borrows about [tokens] of [workspace]: parts of it from a few near VMs at a time, then the rest from others.
     * Returns how many were lent, which may be less or a little more.
     */
    suspend fun borrow(workspace: String, tokens: Double): Double {
        val lenders = fleet.live().shuffled().sortedBy { domains.distance(it.failureDomain) }
        val near = ask(lenders.take(LENDERS_AT_A_TIME), workspace, tokens / 2)
        if (near >= tokens) return near
        return near + ask(lenders.drop(LENDERS_AT_A_TIME).take(LENDERS_AT_A_TIME), workspace, tokens - near)
    }

    private suspend fun ask(lenders: List<VmRecord>, workspace: String, tokens: Double): Double =
        coroutineScope { lenders.map { async { lend(it, workspace, tokens) } }.awaitAll().sum() }

    private suspend fun lend(vm: VmRecord, workspace: String, tokens: Double): Double =
        try {
            val body = PeerMessages.encodeLoan(workspace, tokens)
            PeerMessages.loan(peers.post(vm.control, BORROW_PATH, body, BORROW_MILLIS)).second
        } catch (e: IOException) {
            log.atInfo().addKeyValue("vm", vm.name).addKeyValue("reason", e.message).log("a loan was not answered")
            0.0
        }

    companion object {
        /** Paths of the control interface. */
        const val EXCHANGE_PATH = "/peer/v1/exchange"
        const val FEED_PATH = "/peer/v1/feed/"
        const val BORROW_PATH = "/peer/v1/borrow"

        /** One exchange in this time: news reach eight VMs in about a second, at three messages a VM and second. */
        private const val ROUND_MILLIS = 300L
        private const val SEED_ROUNDS = 10L

        /** One exchange of four may leave the region. */
        private const val REMOTE_ROUNDS = 4L
        private const val MOST_TOLD = 16
        private const val LENDERS_AT_A_TIME = 3
        private const val BORROW_MILLIS = 150L
    }
}
