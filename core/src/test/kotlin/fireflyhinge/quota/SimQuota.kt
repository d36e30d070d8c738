package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.lease.MILLI
import fireflyhinge.lease.SimEvents
import fireflyhinge.lease.SimNode
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import kotlin.random.Random

/**
 * Requesters that charge one workspace at several times its rate, at every node that acts as owner. They use each
 * charge as late as is allowed.
 */
internal class SimQuota(private val events: SimEvents, private val random: Random) {
    private val check = RateCheck(RATE, BURST)
    private var ids = 0

    /** Number of charges that were used. */
    val used: Long get() = check.count.toLong()

    /** Sends one charge to each of [nodes] that acts as owner. */
    fun charge(nodes: List<SimNode>) {
        val tokens = random.nextDouble(20.0, 200.0)
        val request = ChargeRequest("c${ids++}", WORKSPACE, tokens, "f", Priority.BATCH, maxWaitMillis = 3_000)
        nodes.forEach { send(it, request) }
    }

    private fun send(node: SimNode, request: ChargeRequest) {
        val now = node.clock
        val epoch = node.book.actingEpoch(0, now) ?: return
        node.quota.open(epoch, now)
        val reply = node.quota.charge(request, LIMITS.getValue(WORKSPACE), epoch, now) as? ChargeReply.Granted ?: return
        val wait = reply.waitMillis * MILLI
        val drift = random.nextDouble(0.99, 1.01)
        if (wait > 100 * MILLI) {
            events.after(((wait * 0.97 - 50 * MILLI) * drift).toLong()) { node.run { send(node, request) } }
        } else {
            val late = random.nextLong(230 * MILLI)
            check.use(events.now + (wait * 1.02 * drift).toLong() + late, request.tokens)
        }
    }

    /** Violation found by [RateCheck], or null. */
    fun violation(): String? = check.violation()

    companion object {
        private const val WORKSPACE = "shop"
        private const val RATE = 1000.0
        private const val BURST = 2000.0

        /** Limits of the one workspace, by name. */
        val LIMITS =
            mapOf(WORKSPACE to QuotaLimits(rate = RATE * QuotaLimits.RATE_FACTOR, depth = BURST - RATE / 4))
    }
}
