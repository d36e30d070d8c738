package fireflyhinge.daemon.membership

import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.membership.PeerSelector
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Runs gossip rounds. Each exchange has a thread of its own, so that a silent peer does not delay the others. */
internal class GossipLoop(
    private val settings: GossipSettings,
    private val state: MembershipState,
    private val random: Random,
    private val round: () -> Unit,
    private val exchange: (String) -> Unit,
) : AutoCloseable {
    private val threads = ThreadFactory { Thread(it, "gossip").apply { isDaemon = true } }
    private val timer = Executors.newSingleThreadScheduledExecutor(threads)
    private val workers = Executors.newCachedThreadPool(threads)
    private val inFlight = ConcurrentHashMap.newKeySet<String>()
    private var rounds = 0

    fun start() {
        val round = settings.roundMillis
        val pause = maxOf(1, round / PROBES_PER_ROUND)
        timer.scheduleAtFixedRate(LoopTask("gossip round", ::runRound), 0, round, TimeUnit.MILLISECONDS)
        timer.scheduleAtFixedRate(LoopTask("gossip probe", ::probe), pause, pause, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        workers.shutdownNow()
    }

    private fun runRound() {
        round()
        exchangeWith(state.choosePeers() + seeds())
    }

    private fun probe() = exchangeWith(state.read { table, now -> PeerSelector.refusing(table, now, random) })

    private fun exchangeWith(peers: Set<String>) =
        peers.filter(inFlight::add).forEach { peer ->
            workers.execute(LoopTask("gossip exchange") { runExchange(peer) })
        }

    private fun runExchange(peer: String) {
        try {
            exchange(peer)
        } finally {
            inFlight.remove(peer)
        }
    }

    /** A seed is used until a peer is known, and now and then to rejoin a fleet that has split. */
    private fun seeds(): List<String> {
        val alone = state.read { table, now -> table.view(now).none { it.incarnation != 0L && it.id != table.self.id } }
        val due = rounds++ % SEED_ROUNDS == 0
        return if (alone || due) listOfNotNull(settings.seeds.randomOrNull(random)) else emptyList()
    }

    private companion object {
        const val SEED_ROUNDS = 30

        /** Attempts a round at peers that refused a connection; the proof of their end needs three over 1 s. */
        const val PROBES_PER_ROUND = 4
    }
}
