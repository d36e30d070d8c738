package fireflyhinge.daemon.quota

import fireflyhinge.Json
import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ConfigSource
import fireflyhinge.config.Priority
import fireflyhinge.config.ResolvedWorkspace
import fireflyhinge.daemon.lease.ShardService
import fireflyhinge.membership.Member
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.VmEntry
import fireflyhinge.store.WatchBatch
import fireflyhinge.store.WriteCondition
import java.util.concurrent.ConcurrentHashMap

/** Daemons of one region in this process, joined by a transport that encodes each message. */
internal class QuotaFleet(size: Int, workspace: ResolvedWorkspace) : AutoCloseable {
    private val endpoints = ConcurrentHashMap<String, List<PeerEndpoint<*>>>()
    private val members =
        ConcurrentHashMap(
            (0 until size).associate { "vm$it" to Member("vm$it", "perth", "domain$it", "", "", 1, heartbeat = 0) },
        )
    private val store = MemoryStore()
    private val config =
        object : ConfigSource {
            override fun current() = ConfigSnapshot(workspaces = mapOf(workspace.name to workspace))

            override fun onChange(listener: (ConfigSnapshot) -> Unit) = Unit
        }

    /** Called before each message with its path; returning true loses the reply. */
    @Volatile
    var losesReply: (String) -> Boolean = { false }

    /** Daemons by VM. */
    val nodes = members.keys.sorted().associateWith { Node(it) }

    /** The daemon that acts for [shard]. */
    fun actingNode(shard: Int): Node? = nodes.values.find { it.shards.actingEpoch(shard) != null }

    override fun close() = nodes.values.forEach(Node::stop)

    /** One daemon. */
    inner class Node(val vm: String) : PeerTransport, Membership {
        val shards = ShardService(membership = this, transport = this, store = store)
        val quota = QuotaService(shards, this, transport = this, config = config, regionShards = shards)
        val client = PeerQuotaClient(shards, this, transport = this, local = quota, refreshMaps = shards::refresh)

        init {
            endpoints[vm] = shards.endpoints + quota.endpoints
            shards.start()
            quota.start()
        }

        /** Ends the process, as far as others can see. */
        fun stop() {
            endpoints.remove(vm)
            members.remove(vm)
            shards.close()
            quota.close()
            client.close()
        }

        override fun self() = Member(vm, "perth", "domain$vm", "", "", incarnation = 1, heartbeat = 0)

        override fun members() = members.values.sortedBy { it.id }

        override fun isolated() = false

        override fun provenDead(vm: String, incarnation: Long) = !members.containsKey(vm)

        override fun <T : Any> post(
            vm: String,
            path: String,
            message: Any,
            reply: Class<T>,
            timeoutMillis: Long,
        ): PeerResult<T> {
            val endpoint = endpoints[vm]?.find { it.path == path } ?: return PeerResult.ConnectionRefused
            val answer = answer(endpoint, Json.encode(message))
            if (losesReply(path)) return PeerResult.Failed("lost")
            return PeerResult.Ok(Json.mapper.readValue(answer, reply))
        }
    }

    private fun <T : Any> answer(endpoint: PeerEndpoint<T>, message: String) =
        Json.encode(endpoint.handle(Json.mapper.readValue(message, endpoint.type)))

    private class MemoryStore : Store {
        private val objects = HashMap<ObjectName, StoredObject>()

        override fun get(name: ObjectName) =
            synchronized(this) { objects[name]?.let { StoreResult.Ok(it) } ?: StoreResult.NotFound }

        override fun list(kind: String) =
            synchronized(this) { StoreResult.Ok(objects.values.filter { it.name.kind == kind }) }

        override fun put(name: ObjectName, value: String, condition: WriteCondition) =
            synchronized(this) {
                val held = objects[name]
                val expected = (condition as? WriteCondition.AtVersion)?.version
                if (held?.version != expected) return@synchronized StoreResult.Conflict(held)
                StoreResult.Ok(StoredObject(name, (expected ?: 0) + 1, value).also { objects[name] = it })
            }

        override fun watch(position: Long, waitMillis: Long): StoreResult<WatchBatch> = StoreResult.NotFound

        override fun vms(): StoreResult<List<VmEntry>> = StoreResult.NotFound
    }

    companion object {
        /** A workspace of 1000 tokens/s without regions. */
        fun workspace(burst: Double) =
            ResolvedWorkspace(
                name = "shop",
                rate = 1000.0,
                burst = burst,
                models = emptySet(),
                priority = Priority.INTERACTIVE,
                regionShares = emptyMap(),
                serveWhenIsolated = false,
                keyHashes = emptySet(),
            )
    }
}
