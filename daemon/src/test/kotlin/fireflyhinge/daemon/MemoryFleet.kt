package fireflyhinge.daemon

import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.daemon.config.ConfigSettings
import fireflyhinge.daemon.membership.GossipService
import fireflyhinge.daemon.membership.GossipSettings
import fireflyhinge.membership.Member
import fireflyhinge.store.VmEntry

/** Daemons' membership and configuration in one process. */
class MemoryFleet(size: Int, val store: MemoryStore = MemoryStore()) : AutoCloseable {
    val transport = MemoryTransport()
    val nodes = List(size) { Node("vm$it") }

    init {
        store.list = nodes.map { VmEntry(it.id, "r", "d", "${it.id}:1", "${it.id}:2") }
    }

    fun start() = nodes.forEach { it.start() }

    override fun close() = nodes.forEach { it.close() }

    inner class Node(val id: String) : AutoCloseable {
        private val self =
            Member(
                id = id,
                region = "r",
                failureDomain = "d",
                callerAddress = "$id:1",
                controlAddress = "$id:2",
                incarnation = 1,
                heartbeat = 0,
            )
        val gossip = GossipService(GossipSettings(self, seeds = listOf("vm0:2"), roundMillis = 50), store, transport)
        val config =
            ConfigService(
                ConfigSettings(seeds = listOf("vm0:2"), pollMillis = 50),
                store,
                transport,
                gossip,
                syncListener = gossip.reports,
            )

        fun start() {
            gossip.attach(config)
            config.onObject("fences", gossip.reports::onFence)
            transport.serve(id, config.endpoints + gossip.endpoint)
            gossip.start()
            config.start()
        }

        override fun close() {
            transport.stop(id)
            config.close()
            gossip.close()
        }
    }
}
