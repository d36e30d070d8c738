package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.PrefillRates
import fireflyhinge.gateway.http.ConnectFailedException
import fireflyhinge.gateway.repeatForever
import fireflyhinge.gateway.runLogged
import fireflyhinge.time.Stopwatch
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/** Gossips the state of the fleet with other VMs and fetches newer copies of the store's objects from them. */
internal class Gossip(
    private val domains: FailureDomains,
    private val peers: PeerClient,
    private val copies: CopyExchange,
    private val seeds: () -> List<String>,
    private val updates: FleetUpdates,
    private val evidence: CrashEvidence,
    private val prefillRates: PrefillRates = PrefillRates(),
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val fleet = updates.fleet
    private var round = 0L
    private var seedIndex = 0

    /** Exchanges that were answered. While it is 0, this VM may not know the others yet. */
    var answered = 0
        private set

    /** Gossips until cancelled. */
    suspend fun run() {
        repeatForever(log, "exchanging") {
            round()
            // Random pauses keep the VMs from gossiping in step.
            val pause = (ROUND_MILLIS * fleet.exchangeIntervalFactor).toLong()
            delay(pause / 2 + Random.nextLong(pause))
        }
    }

    private suspend fun round() {
        updates.heartbeat()
        round++
        nextPartner()?.let { exchange(it) }
    }

    /** Sends the state of this VM to others at once; used when it stops taking requests. */
    suspend fun announce() {
        updates.heartbeat()
        coroutineScope {
            fleet.live().take(MAX_ANNOUNCED).forEach { vm ->
                launch { runLogged(log, "announcing") { exchange(vm.control) } }
            }
        }
    }

    /**
     * Selects the address of the next gossip partner. Usually it is in the same failure domain, or in the same region
     * if the domain has few VMs: links between domains are narrow and billed by volume. Seeds are used at times, and
     * while no other VM is known.
     */
    private fun nextPartner(): String? {
        val known = fleet.all().filter { it.name != fleet.self.name }
        if (known.isEmpty() || round % SEED_ROUNDS == 0L) {
            val others = seeds().filter { it != fleet.self.control }
            if (others.isNotEmpty() && (known.isEmpty() || known.none { it.control in others })) {
                return others[seedIndex++ % others.size]
            }
        }
        val sameDomain = known.filter { domains.distance(it.failureDomain) == 0 }
        val local =
            if (sameDomain.size >= MIN_LOCAL_PARTNERS) {
                sameDomain
            } else {
                known.filter { domains.distance(it.failureDomain) < 2 }
            }
        val pool = if (round % REMOTE_ROUNDS == 0L || local.isEmpty()) known else local
        return pool.randomOrNull()?.control
    }

    private suspend fun exchange(address: String) {
        try {
            val call = Stopwatch()
            val answer = PeerMessages.exchange(peers.post(address, EXCHANGE_PATH, PeerMessages.encode(localState())))
            answered++
            merge(answer)
            copies.compare(answer.copies, address, call)
        } catch (e: ConnectFailedException) {
            if (e.refused) fleet.all().find { it.control == address }?.let { fleet.connectionRefused(it.name) }
            log.debug("gossip exchange with {} failed: {}", address, e.message)
        } catch (e: IOException) {
            log.debug("gossip exchange with {} failed: {}", address, e.message)
        }
    }

    /** The state that this VM sends to others. */
    fun localState() =
        PeerStateMessage(fleet.all(), copies.versions(), evidence.recent(), prefillRates.report())

    /** Applies the state [theirs] of another VM and returns this VM's own. */
    fun received(theirs: PeerStateMessage): PeerStateMessage {
        merge(theirs)
        theirs.vms.firstOrNull()?.let { copies.offer(theirs.copies, it.control) }
        return localState()
    }

    private fun merge(theirs: PeerStateMessage) {
        updates.merge(theirs.vms)
        evidence.merge(theirs.evidence)
        prefillRates.merge(theirs.prefillRates)
    }

    companion object {
        /** Paths of the control interface. */
        const val EXCHANGE_PATH = "/peer/v1/exchange"
        const val FEED_PATH = "/peer/v1/feed/"

        /** Interval in a small fleet: an update reaches eight VMs in about a second. */
        private const val ROUND_MILLIS = 300L
        private const val SEED_ROUNDS = 10L

        /** Number of other VMs in a failure domain from which on gossip mostly stays within it. */
        private const val MIN_LOCAL_PARTNERS = 6

        /** One exchange in four may leave the failure domain and the region. */
        private const val REMOTE_ROUNDS = 4L
        private const val MAX_ANNOUNCED = 16
    }
}
