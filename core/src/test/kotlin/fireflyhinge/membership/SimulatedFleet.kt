package fireflyhinge.membership

import fireflyhinge.config.ConfigSync
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import kotlin.random.Random

/** In-memory daemons that gossip in rounds of 1 s over a network that loses messages. */
class SimulatedFleet(size: Int, private val loss: Double, seed: Int) {
    private val random = Random(seed)
    val vms = List(size) { SimulatedVm("vm$it", incarnation = 1, random = random) }
    private val byId = vms.associateBy { it.id }
    var largestMessage = 0
        private set
    var now = 0L
        private set

    init {
        vms.drop(1).forEach { it.updates.merge(vms.first().table.self, now) }
    }

    /** Writes an object through [vm], which pushes it to three peers. */
    fun write(vm: SimulatedVm, version: Long) {
        val name = ObjectName("templates", "t${version % 5}")
        val rate = if (version % 7 == 0L) -1 else version
        spread(vm, listOf(StoredObject(name, version, """{"name":"${name.name}","parameters":{"rate":$rate}}""")))
    }

    fun round() {
        now += 1_000
        vms.filter { it.running }.shuffled(random).forEach { vm ->
            vm.table.updateSelf()
            PeerSelector.choose(vm.table, now, random).forEach { peer -> gossip(vm, byId.getValue(peer)) }
            vm.checkMembers()
        }
    }

    fun running() = vms.filter { it.running }

    private fun gossip(vm: SimulatedVm, peer: SimulatedVm) {
        var next: GossipMessage? = vm.exchange.opening(peer.id, vm.copy.digest, now)
        repeat(2) {
            val message = next ?: return@repeat
            if (!message.all) largestMessage = maxOf(largestMessage, message.beats.size)
            val answer = delivered(peer) { peer.exchange.reply(message, peer.copy.digest, now) }
            next = answer?.let { vm.exchange.onReply(peer.id, it, vm.copy.digest, now) }
            if (answer == null) vm.updates.onFailed(peer.id, refused = false, now = now)
            if (answer != null && answer.config != vm.copy.digest) compare(vm, peer)
        }
    }

    private fun compare(vm: SimulatedVm, peer: SimulatedVm) {
        var next: ConfigSyncRequest? = ConfigSync.firstRequest(vm.copy, vm.id)
        repeat(ConfigSync.MAX_REQUESTS) {
            val message = next ?: return
            val answer = delivered(peer) { peer.answer(message) } ?: return
            vm.merge(answer.objects)
            next = ConfigSync.nextRequest(vm.copy, answer, vm.id)
        }
    }

    private fun spread(vm: SimulatedVm, objects: List<StoredObject>) {
        val changed = vm.merge(objects)
        if (changed.isEmpty()) return
        (running() - vm).shuffled(random).take(3).forEach { peer -> delivered(peer) { spread(peer, changed) } }
    }

    /** Either the message or its reply may be lost. If the reply is lost, the peer has processed the message. */
    private fun <T> delivered(peer: SimulatedVm, act: () -> T): T? {
        if (!peer.running || random.nextDouble() < loss) return null
        val answer = act()
        return answer.takeUnless { random.nextDouble() < loss }
    }
}
