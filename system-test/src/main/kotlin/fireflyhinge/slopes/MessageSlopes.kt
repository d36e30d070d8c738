package fireflyhinge.slopes

import fireflyhinge.Json
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.config.Template
import fireflyhinge.config.Workspace
import fireflyhinge.config.WorkspaceParameters
import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/** Sizes of control messages and of the configuration copy, without processes. */
internal object MessageSlopes {
    private const val WORD = 64
    private const val BASE_VERSION = 100_000L
    private val MEMBERS = listOf(8, 32, 64, 256, 1_500)
    private val SHARDS = listOf(1, 2, 8, 64)
    private val FLOORS = listOf(0, 8, 64)
    private val BUCKETS = listOf(1, 100, 830)
    private val REPLICAS = listOf(16, 32, 64)
    private val WORKSPACES = listOf(100, 400, 830)

    /** Measures everything and passes each line to [print]. */
    fun run(print: (String) -> Unit) {
        MEMBERS.forEach { print("gossip ${GossipSlope(it).run()}, load ${Machine.load()}") }
        SHARDS.forEach { print("lease shards $it: request ${request(it)} B, reply ${reply(it)} B") }
        FLOORS.forEach { print("lease shards 8, floors $it: request ${request(shards = 8, floors = it)} B") }
        BUCKETS.forEach { print("${QuotaSlope(it).run()}, load ${Machine.load()}") }
        REPLICAS.forEach { print("${CellSlope(it).run()}, load ${Machine.load()}") }
        print("configuration push of one workspace: ${push()} B")
        WORKSPACES.forEach { print("configuration copy workspaces $it: ${copyBytes(it)} B of heap") }
    }

    private fun request(shards: Int, floors: Int = 0): Int {
        val byShard = (1..floors).groupBy { it % shards + 1 }
        val message =
            LeaseRequest(
                owner = "vm-1",
                incarnation = BASE_VERSION,
                region = "region-1",
                shards = epochs(shards),
                successorIncarnation = BASE_VERSION,
                echo = System.nanoTime(),
                sequence = BASE_VERSION,
                floors = byShard.mapValues { (_, numbers) -> numbers.associate { "workspace-$it" to BASE_VERSION } },
            )
        return size(message)
    }

    private fun reply(shards: Int): Int = size(LeaseReply(epochs(shards).keys, stamp = System.nanoTime()))

    private fun push(): Int = size(ConfigSyncRequest(from = "vm-1", objects = listOf(workspace(1))))

    private fun epochs(shards: Int): Map<Int, Long> = (1..shards).associateWith { it.toLong() }

    private fun size(message: Any): Int = Json.encode(message).toByteArray().size

    /** Live heap of a copy and its snapshot: difference of the heap in use after collections. */
    private fun copyBytes(workspaces: Int): Long {
        ConfigCopy.EMPTY.merge(listOf(template(), workspace(0))).copy.snapshot
        val before = Processor.liveHeap()
        val copy = ConfigCopy.EMPTY.merge((1..workspaces).map(::workspace) + template()).copy
        val held = copy.snapshot
        val bytes = Processor.liveHeap() - before
        check(held.workspaces.size == workspaces) { "${held.workspaces.size} of $workspaces are in force" }
        check(copy.digest.count == workspaces + 1)
        return bytes
    }

    private fun template() =
        StoredObject(ObjectName("templates", "standard"), version = 1, value = Json.encode(Template("standard")))

    private fun workspace(number: Int): StoredObject {
        val parameters =
            WorkspaceParameters(rate = 1_000.0, burst = 5_000.0, models = (1..9).map { "model-$it" })
        val hashes = setOf(number, number + BASE_VERSION.toInt()).map { "%0${WORD}x".format(it) }.toSet()
        val value = Workspace("workspace-$number", "standard", parameters, hashes, changeId = "change-$number")
        return StoredObject(ObjectName("workspaces", value.name), BASE_VERSION + number, Json.encode(value))
    }
}
