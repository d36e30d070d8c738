package fireflyhinge.daemon

import com.fasterxml.jackson.databind.JavaType
import fireflyhinge.Json
import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.daemon.config.ConfigSettings
import fireflyhinge.daemon.membership.GossipService
import fireflyhinge.daemon.membership.GossipSettings
import fireflyhinge.membership.Member
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.VmEntry
import java.util.concurrent.ConcurrentHashMap

/** Daemons' membership and configuration in one process; messages pass through JSON as on the wire. */
class MemoryFleet(size: Int, val store: MemoryStore = MemoryStore()) : AutoCloseable {
    private val endpoints = ConcurrentHashMap<String, Map<String, PeerEndpoint<*>>>()
    val nodes = List(size) { Node("vm$it") }

    init {
        store.list = nodes.map { VmEntry(it.id, "r", "d", "${it.id}:1", "${it.id}:2") }
    }

    fun start() = nodes.forEach { it.start() }

    override fun close() = nodes.forEach { it.close() }

    inner class Node(val id: String) : PeerTransport, AutoCloseable {
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
        val gossip = GossipService(GossipSettings(self, seeds = listOf("vm0:2"), roundMillis = 50), store, this)
        val config = ConfigService(ConfigSettings(seeds = listOf("vm0:2"), pollMillis = 50), store, this, gossip)

        fun start() {
            gossip.attach(config)
            config.onObject("fences", gossip.reports::onFence)
            endpoints[id] = (config.endpoints + gossip.endpoint).associateBy { it.path }
            gossip.start()
            config.start()
        }

        override fun close() {
            endpoints.remove(id)
            config.close()
            gossip.close()
        }

        override fun <T : Any> post(
            vm: String,
            path: String,
            message: Any,
            reply: Class<T>,
            timeoutMillis: Long,
        ): PeerResult<T> {
            val endpoint = endpoints[vm.substringBefore(':')]?.get(path) ?: return PeerResult.ConnectionRefused
            return PeerResult.Ok(Json.mapper.readValue(call(endpoint, Json.encode(message)), reply))
        }

        private fun <M : Any> call(endpoint: PeerEndpoint<M>, text: String): String {
            val type: JavaType = Json.mapper.constructType(endpoint.type)
            return Json.encode(endpoint.handle(Json.mapper.readValue(text, type)))
        }
    }
}
