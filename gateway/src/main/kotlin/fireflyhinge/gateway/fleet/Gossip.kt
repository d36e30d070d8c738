package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FailureDomains
import fireflyhinge.gateway.http.ConnectFailed
import fireflyhinge.gateway.repeatForever
import fireflyhinge.gateway.runLogged
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/** Exchanges news with other VMs and fetches newer copies of the store's objects from them. */
internal class Gossip(
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val feeds: List<StoreMirror>,
    private val seeds: () -> List<String>,
    private val news: FleetUpdates,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val fleet = news.fleet
    private var round = 0L
    private var seedNumber = 0

    /** Exchanges that were answered; none means that this VM may not know the others yet. */
    var answered = 0
        private set

    /** Exchanges until cancelled. */
    suspend fun run() {
        repeatForever(log, "exchanging") {
            round()
            // Random pauses keep the VMs from exchanging all at once.
            val pause = (ROUND_MILLIS * fleet.exchangeIntervalFactor).toLong()
            delay(pause / 2 + Random.nextLong(pause))
        }
    }

    private suspend fun round() {
        news.beat()
        round++
        partner()?.let { exchange(it) }
    }

    /** Tells the state of this VM to others at once; used when it stops to take requests. */
    suspend fun announce() {
        news.beat()
        coroutineScope {
            fleet.live().take(MOST_TOLD).forEach { launch { runLogged(log, "announcing") { exchange(it.control) } } }
        }
    }

    /**
     * Mostly VMs of the own failure domain, or of the own region if there are few: links between them are narrow and
     * paid by volume. Seeds are asked while nobody is known.
     */
    private fun partner(): String? {
        val known = fleet.all().filter { it.name != fleet.self.name }
        if (known.isEmpty() || round % SEED_ROUNDS == 0L) {
            val others = seeds().filter { it != fleet.self.control }
            if (others.isNotEmpty() && (known.isEmpty() || known.none { it.control in others })) {
                return others[seedNumber++ % others.size]
            }
        }
        val beside = known.filter { domains.distance(it.failureDomain) == 0 }
        val local = if (beside.size >= ENOUGH) beside else known.filter { domains.distance(it.failureDomain) < 2 }
        val pool = if (round % REMOTE_ROUNDS == 0L || local.isEmpty()) known else local
        return pool.randomOrNull()?.control
    }

    private suspend fun exchange(address: String) {
        try {
            val answer = PeerMessages.exchange(peers.post(address, EXCHANGE_PATH, PeerMessages.encode(own())))
            answered++
            take(answer, address)
        } catch (e: ConnectFailed) {
            if (e.refused) fleet.all().find { it.control == address }?.let { fleet.connectionRefused(it.name) }
            log.debug("an exchange failed: {}", e.message)
        } catch (e: IOException) {
            log.debug("an exchange failed: {}", e.message)
        }
    }

    /** What this VM tells others. */
    fun own() = PeerStateMessage(fleet.all(), feeds.associate { it.kind to it.revision })

    /** Another VM sent [theirs] and gets the answer. */
    fun received(theirs: PeerStateMessage): PeerStateMessage {
        news.merge(theirs.vms)
        return own()
    }

    private suspend fun take(theirs: PeerStateMessage, address: String) {
        news.merge(theirs.vms)
        for (feed in feeds) {
            if (!feed.behind(theirs.revisions[feed.kind] ?: 0)) continue
            feed.adopt(PeerMessages.listing(peers.get(address, FEED_PATH + feed.kind.name)), address)
        }
    }

    companion object {
        /** Paths of the control interface. */
        const val EXCHANGE_PATH = "/peer/v1/exchange"
        const val FEED_PATH = "/peer/v1/feed/"

        /** One exchange in this time in a small fleet: news reach eight VMs in about a second. */
        private const val ROUND_MILLIS = 300L
        private const val SEED_ROUNDS = 10L

        /** VMs of a failure domain that exchange mostly among themselves. */
        private const val ENOUGH = 6

        /** One exchange of four may leave the failure domain and the region. */
        private const val REMOTE_ROUNDS = 4L
        private const val MOST_TOLD = 16
    }
}
