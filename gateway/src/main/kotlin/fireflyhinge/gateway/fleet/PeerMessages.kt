package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.forward.HostPort
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.DeduplicatingLogger
import fireflyhinge.numberIn
import fireflyhinge.textOrNull
import fireflyhinge.wholeIn
import org.slf4j.LoggerFactory

/** JSON form of the messages between VMs. Trees, not reflection, because classes load slowly at a start. */
internal object PeerMessages {
    private val mapper = ObjectMapper()
    private val log = DeduplicatingLogger(LoggerFactory.getLogger(PeerMessages::class.java))
    private val WHOLE = 0..Long.MAX_VALUE

    /** Tokens that one VM can have at a replica, or another limit can hold; sums of them are exact. */
    private const val MOST_TOKENS = 1_000_000_000_000L

    fun encode(exchange: PeerStateMessage): ByteArray {
        val root = mapper.createObjectNode()
        val list = root.putArray("vms")
        exchange.vms.forEach { list.add(encode(it)) }
        val revisions = root.putObject("revisions")
        exchange.revisions.forEach { (kind, revision) -> revisions.put(kind.name, revision) }
        return mapper.writeValueAsBytes(root)
    }

    fun exchange(bytes: ByteArray): PeerStateMessage {
        val root = mapper.readTree(bytes)
        val vms = root.path("vms").mapNotNull(::vm)
        val revisions =
            StoreObjectKind.entries.associateWith { root.path("revisions").path(it.name).wholeIn(WHOLE) ?: 0 }
        return PeerStateMessage(vms, revisions)
    }

    fun encode(listing: StoreReadResult.Listing): ByteArray {
        val root = mapper.createObjectNode().put("revision", listing.revision)
        val list = root.putArray("items")
        listing.items.forEach { item ->
            list.addObject().put("name", item.name).put("revision", item.revision).put("body", item.body)
        }
        return mapper.writeValueAsBytes(root)
    }

    fun listing(bytes: ByteArray): StoreReadResult.Listing {
        val root = mapper.readTree(bytes)
        return StoreReadResult.Listing(root.path("items").mapNotNull(::item), root.path("revision").wholeIn(WHOLE) ?: 0)
    }

    fun encodeLoan(workspace: String, tokens: Double): ByteArray =
        mapper.writeValueAsBytes(mapper.createObjectNode().put("workspace", workspace).put("tokens", tokens))

    fun loan(bytes: ByteArray): Pair<String, Double> {
        val root = mapper.readTree(bytes)
        return root.path("workspace").asText() to (root.path("tokens").numberIn(0.0..MOST_TOKENS.toDouble()) ?: 0.0)
    }

    private fun encode(vm: VmRecord): ObjectNode =
        mapper
            .createObjectNode()
            .put("name", vm.name)
            .put("front", vm.front)
            .put("control", vm.control)
            .put("failure_domain", vm.failureDomain)
            .put("started_at", vm.startedAt)
            .put("beat", vm.heartbeat)
            .put("ready", vm.ready)
            .also { node -> vm.tokens.forEach { (id, count) -> node.withObject("/tokens").put(id, count) } }

    private fun item(node: JsonNode): StoreItem? {
        val name = node.path("name").textOrNull()?.ifEmpty { null }
        val revision = node.path("revision").wholeIn(WHOLE)
        val body = node.path("body").textOrNull()
        if (name != null && revision != null && body != null) return StoreItem(name, revision, body)
        log.warn("item $name", null, "an item of another VM's copy is not used")
        return null
    }

    /** The record in [node], or null if it is not usable as a whole. */
    private fun vm(node: JsonNode): VmRecord? {
        val fault = fault(node)
        if (fault == null) {
            return VmRecord(
                name = node.path("name").asText(),
                front = node.path("front").asText(),
                control = node.path("control").asText(),
                failureDomain = node.path("failure_domain").asText(),
                startedAt = node.path("started_at").asLong(),
                heartbeat = node.path("beat").asLong(),
                ready = node.path("ready").asBoolean(),
                tokens = node.path("tokens").properties().associate { it.key to it.value.asLong() },
            )
        }
        log.warn("VM ${node.path("name").asText()}", "$fault: is missing or not allowed", "a VM's record is not used")
        return null
    }

    private fun fault(node: JsonNode): String? =
        when {
            node.path("name").textOrNull().isNullOrEmpty() -> "name"
            !HostPort.isUsable(node.path("front").textOrNull().orEmpty()) -> "front"
            !HostPort.isUsable(node.path("control").textOrNull().orEmpty()) -> "control"
            !node.path("failure_domain").isTextual -> "failure_domain"
            node.path("started_at").wholeIn(WHOLE) == null -> "started_at"
            node.path("beat").wholeIn(WHOLE) == null -> "beat"
            node.path("tokens").any { it.wholeIn(0..MOST_TOKENS) == null } -> "tokens"
            else -> null
        }
}
