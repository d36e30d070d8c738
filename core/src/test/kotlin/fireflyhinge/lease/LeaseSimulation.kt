package fireflyhinge.lease

import fireflyhinge.peer.LeaseRequest
import fireflyhinge.quota.SimQuota
import kotlin.random.Random

/**
 * Simulates two to four daemons with random faults. [violations] lists when a safety property was violated.
 *
 * @param floorFactor factor applied to the floors of quota buckets that are sent to the successor.
 */
internal class LeaseSimulation(seed: Int, times: LeaseTimes = LeaseTimes(), private val floorFactor: Long = 1) {
    private val random = Random(seed)
    private val events = SimEvents()
    private val store = SimStore(events, random)
    private val nodes =
        List(random.nextInt(2, 5)) { SimNode("vm$it", "domain${it % 2}", events, random, times) }
    private val cut = HashSet<Pair<String, String>>()
    private val quota = SimQuota(events, random)
    private var passes = 0L
    private var countFrom = 0L
    private var lossy = false

    /** Violated safety properties, with the true time in milliseconds. */
    val violations = ArrayList<String>()

    /** Number of (shard, check) pairs at which some process acted; shows that the runs are not idle. */
    var actingChecks = 0L
        private set
    var checks = 0L
        private set

    /** Number of charges that were used. */
    val used: Long get() = quota.used

    /** Runs for [duration] of true time, without faults for the first [calm]. Counts acting owners from [from] on. */
    fun run(duration: Long, calm: Long = 15 * SECOND, from: Long = 0): LeaseSimulation {
        countFrom = from
        events.after(calm) {
            lossy = true
            store.lossy = true
        }
        nodes.forEach(::loop)
        events.after(calm, ::fault)
        events.after(0, ::load)
        events.runUntil(duration, ::check)
        quota.violation()?.let(violations::add)
        return this
    }

    private fun check() {
        for (shard in 0 until SimNode.SHARDS) {
            val acting = nodes.filter { it.running && it.book.actingEpoch(shard, it.clock) != null }
            if (events.now >= countFrom) {
                checks++
                if (acting.isNotEmpty()) actingChecks++
            }
            if (acting.size > 1) {
                violations += "${events.now / MILLI} ms: shard $shard is owned by ${acting.map { it.process }}"
            }
        }
    }

    private fun load() {
        val node = nodes.random(random)
        quota.charge(nodes.filter { it.running }.ifEmpty { listOf(node) })
        // Buckets fill up during the pauses, so that takeovers have floors to start from.
        events.after(if (random.nextInt(100) == 0) random.nextLong(6 * SECOND) else 20 * MILLI, ::load)
    }

    private fun loop(node: SimNode) {
        node.run { pass(node) }
        events.after(100 * MILLI) { loop(node) }
    }

    private fun pass(node: SimNode) {
        val view = node.view(nodes)
        node.book.tick(view, node.storeAvailable, node.clock)
        val all = passes++ % 10 == 0L || random.nextInt(10) == 0
        node.book.requests(view, all, node.clock).forEach { send(node, it) }
        if (all) gossip(node)
        if (!node.storeBusy) useStore(node)
    }

    private fun send(from: SimNode, outgoing: OutgoingLeaseRequest) {
        val sender = from.process
        val sentAt = from.clock
        val sent = outgoing.copy(request = from.floors.attach(outgoing.request))
        val to = nodes.first { it.vm == outgoing.to.vm }
        deliver(from, to) {
            val reply = to.book.handle(sent.request, to.clock)
            to.floors.received(changed(sent.request), reply)
            deliver(to, from) {
                if (from.process == sender) {
                    from.floors.acknowledged(sent.request, reply)
                    from.book.onReply(sent, reply, sentAt, from.clock)
                }
            }
        }
    }

    private fun changed(request: LeaseRequest) =
        request.copy(floors = request.floors.mapValues { (_, floors) -> floors.mapValues { it.value * floorFactor } })

    private fun gossip(from: SimNode) {
        val process = from.process
        val copy = from.book.knownMap
        nodes.filter { it !== from }.forEach { to ->
            deliver(from, to) {
                to.heard[from.vm] = process to events.now
                if (copy != null && random.nextInt(3) == 0) to.book.learn(copy, to.clock)
            }
        }
    }

    /** Delivers a message after a random, sometimes long delay, unless the two nodes are partitioned. */
    private fun deliver(from: SimNode, to: SimNode, action: () -> Unit) {
        if (!linked(from.vm, to.vm) || (lossy && random.nextInt(50) == 0)) return
        val delay = if (lossy && random.nextInt(20) == 0) random.nextLong(10 * SECOND) else random.nextLong(40 * MILLI)
        events.after(delay) { if (linked(from.vm, to.vm)) to.run(action) }
    }

    private fun linked(a: String, b: String) = (a to b) !in cut && (b to a) !in cut

    private fun useStore(node: SimNode) {
        val view = node.view(nodes)
        if (!node.book.hasNextWrite(view, node.clock) && random.nextInt(20) != 0) return
        val process = node.process
        val reachable = { linked(node.vm, STORE) }
        node.storeBusy = true
        store.read(reachable) { answers, copy ->
            node.run {
                if (node.process != process) return@run
                node.storeAvailable = answers
                node.storeBusy = false
                copy?.takeIf { answers }?.let { node.book.learn(it, node.clock) }
                if (answers) write(node, reachable)
            }
        }
    }

    private fun write(node: SimNode, reachable: () -> Boolean) {
        val process = node.process
        val write = node.book.nextWrite(node.view(nodes), node.clock) ?: return
        node.storeBusy = true
        store.write(write, reachable) { result ->
            val current = store.copy
            node.run {
                if (node.process != process) return@run
                node.storeBusy = false
                node.storeAvailable = result == SimWriteResult.ANSWERED
                when (result) {
                    SimWriteResult.ANSWERED -> current?.let { node.book.learn(it, node.clock) }
                    else -> node.book.onWriteFailed(uncertain = result == SimWriteResult.UNKNOWN)
                }
            }
        }
    }

    private fun fault() {
        val node = nodes.random(random)
        val length = random.nextLong(100 * MILLI, 15 * SECOND)
        when (random.nextInt(9)) {
            0 -> node.pausedUntil = maxOf(node.pausedUntil, events.now + length)
            1 -> crash(node, length)
            2 -> cutOff(node.vm, nodes.random(random).vm, length)
            3 -> cutOff(node.vm, STORE, length)
            4 -> {
                store.down = true
                events.after(length * 3) { store.down = false }
            }
            5 -> {
                node.draining = true
                events.after(length * 2) { node.draining = false }
            }
            6 -> loseOwnerOfCutOffSuccessor(node)
            else -> loseContactDuringWrite(node)
        }
        events.after(random.nextLong(8 * SECOND), ::fault)
    }

    /** Partitions a successor from the store and from the owner, which replaces the successor and dies soon after. */
    private fun loseOwnerOfCutOffSuccessor(node: SimNode) {
        val successor = nodes.random(random)
        cutOff(successor.vm, STORE, 30 * SECOND)
        cutOff(successor.vm, node.vm, 30 * SECOND)
        if (random.nextBoolean()) nodes.filter { it !== node }.forEach { cutOff(successor.vm, it.vm, 30 * SECOND) }
        events.after(random.nextLong(SECOND, 10 * SECOND)) { crash(node, 20 * SECOND) }
    }

    /** An owner replaces a successor after a short partition and then reaches only the replaced one. */
    private fun loseContactDuringWrite(node: SimNode) {
        val successor = nodes.random(random)
        cutOff(node.vm, successor.vm, random.nextLong(SECOND, 3 * SECOND))
        events.after(random.nextLong(1500 * MILLI, 2 * SECOND)) {
            (nodes.map { it.vm } + STORE).filter { it != successor.vm }.forEach { cutOff(node.vm, it, 15 * SECOND) }
        }
    }

    private fun cutOff(a: String, b: String, length: Long) {
        cut += a to b
        events.after(length) { cut -= a to b }
    }

    /**
     * Crashes the process of [node]. The evidence of its death reaches each process after a random delay, possibly
     * after the restart of the VM. The evidence names a time between the death and its arrival.
     */
    private fun crash(node: SimNode, length: Long) {
        if (!node.alive) return
        val process = node.process
        node.alive = false
        nodes.forEach { other ->
            val delay = if (random.nextBoolean()) SECOND + random.nextLong(SECOND) else random.nextLong(20 * SECOND)
            val deadBy = events.now + random.nextLong(if (random.nextBoolean()) delay / 8 + 1 else delay + 1)
            events.after(delay) { other.dead[process] = other.clockAt(deadBy) }
        }
        events.after(length) { node.restart() }
    }

    private companion object {
        const val STORE = "store"
    }
}
