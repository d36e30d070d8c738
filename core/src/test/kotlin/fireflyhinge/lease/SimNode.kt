package fireflyhinge.lease

import fireflyhinge.quota.FloorExchange
import fireflyhinge.quota.QuotaShard
import fireflyhinge.quota.SimQuota
import kotlin.random.Random

/** One VM of the simulation, with a drifting clock and a process that can pause, crash and restart. */
internal class SimNode(
    val vm: String,
    val failureDomain: String,
    private val events: SimEvents,
    private val random: Random,
    private val times: LeaseTimes,
) {
    private val drift = 1 + (random.nextDouble() * 2 - 1) / 100
    private val offset = random.nextLong(1_000 * SECOND)

    /** The current process; each restart starts a new one. */
    var process = ProcessId(vm, incarnation = 1)
        private set
    var book = newBook()
        private set
    var quota = QuotaShard()
        private set
    var floors = newFloors()
        private set
    var alive = true
    var pausedUntil = 0L
    var draining = false
    var storeAvailable = true
    var storeBusy = false

    /** Processes for whose death this node has evidence, with the time of death by its own clock. */
    val dead = HashMap<ProcessId, Long>()

    /** The last process of each VM that sent a message to this node, with the true time of its arrival. */
    val heard = HashMap<String, Pair<ProcessId, Long>>()

    /** Monotonic clock of the node. */
    val clock: Long get() = clockAt(events.now)

    /** Value of the clock of the node at a true time. */
    fun clockAt(time: Long): Long = offset + (time * drift).toLong()

    /** Whether the process is alive and not paused now. */
    val running: Boolean get() = alive && events.now >= pausedUntil

    /** Runs [action] in the current process, after its pause. Does nothing once the process has crashed. */
    fun run(action: () -> Unit) {
        val target = process
        when {
            !alive -> Unit
            running -> action()
            else -> events.after(pausedUntil - events.now) { if (process == target) run(action) }
        }
    }

    /** Starts a new process. */
    fun restart() {
        process = ProcessId(vm, process.incarnation + 1)
        book = newBook()
        quota = QuotaShard()
        floors = newFloors()
        alive = true
        pausedUntil = 0
        draining = false
        storeBusy = false
        dead.clear()
        heard.clear()
    }

    private fun newBook() =
        LeaseStateMachine(process, region = "perth", shardCount = SHARDS, startedAt = clock, times = times)

    /** Only the first shard has a quota bucket. */
    private fun newFloors(): FloorExchange {
        val target = process
        val rest = QuotaShard()
        return FloorExchange(
            shardOf = { if (it == 0) quota else rest },
            limitsOf = { shard, _ -> if (shard == 0) SimQuota.LIMITS else emptyMap() },
            actingEpoch = { shard -> book.takeIf { process == target }?.actingEpoch(shard, clock) },
            clock = { clock },
        )
    }

    /** The region as this node sees it. */
    fun view(nodes: List<SimNode>): RegionView {
        val others =
            nodes.filter { it !== this }.mapNotNull { node ->
                val (process, at) = heard[node.vm] ?: return@mapNotNull null
                Candidate(process, node.failureDomain).takeIf { events.now - at < 3 * SECOND && process !in dead }
            }
        val own = if (draining) emptyList() else listOf(Candidate(process, failureDomain))
        return RegionView((others + own).sortedBy { it.process.vm }, draining, deadBy = dead::get)
    }

    companion object {
        const val SHARDS = 6
    }
}
