package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.doubleIn
import fireflyhinge.forward.HostPort
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.DeduplicatingLogger
import fireflyhinge.longIn
import fireflyhinge.textOrNull
import org.slf4j.LoggerFactory

/** JSON codec of the messages between VMs. Uses trees, since reflection loads many classes and slows the start. */
internal object PeerMessages {
    private val mapper = ObjectMapper()
    private val log = DeduplicatingLogger(LoggerFactory.getLogger(PeerMessages::class.java))
    private val NON_NEGATIVE = 0..Long.MAX_VALUE

    /** Upper bound for the tokens of a VM at a replica, and for those of a loan; sums of such values are exact. */
    private const val MAX_TOKENS = 1_000_000_000_000L

    fun encode(exchange: PeerStateMessage): ByteArray {
        val root = mapper.createObjectNode()
        val list = root.putArray("vms")
        exchange.vms.forEach { list.add(encode(it)) }
        CopyVersionCodec.encode(exchange.copies, root)
        if (!exchange.evidence.empty) root.set<ObjectNode>("evidence", EvidenceCodec.encode(exchange.evidence))
        PrefillRateCodec.encode(exchange.prefillRates, root)
        return mapper.writeValueAsBytes(root)
    }

    fun exchange(bytes: ByteArray): PeerStateMessage {
        val root = mapper.readTree(bytes)
        val vms = root.path("vms").mapNotNull(::vm)
        val evidence = EvidenceCodec.decode(root.path("evidence"))
        return PeerStateMessage(vms, CopyVersionCodec.decode(root), evidence, PrefillRateCodec.decode(root))
    }

    fun encode(listing: StoreReadResult.Listing): ByteArray {
        val root = mapper.createObjectNode().put("revision", listing.revision)
        if (listing.era > 0) root.put("era", listing.era)
        val list = root.putArray("items")
        listing.items.forEach { item ->
            list.addObject().put("name", item.name).put("revision", item.revision).put("body", item.body)
        }
        return mapper.writeValueAsBytes(root)
    }

    fun listing(bytes: ByteArray): StoreReadResult.Listing {
        val root = mapper.readTree(bytes)
        val items = root.path("items").mapNotNull(::item)
        val era = root.path("era").longIn(NON_NEGATIVE) ?: 0
        return StoreReadResult.Listing(items, root.path("revision").longIn(NON_NEGATIVE) ?: 0, era)
    }

    /** Encodes a loan; [young] tells that the lender's share may not have accrued its tokens since its start. */
    fun encodeLoan(workspace: String, tokens: Double, young: Boolean = false): ByteArray {
        val root = mapper.createObjectNode().put("workspace", workspace).put("tokens", tokens)
        if (young) root.put("young", true)
        return mapper.writeValueAsBytes(root)
    }

    fun loan(bytes: ByteArray): Pair<String, Double> {
        val root = mapper.readTree(bytes)
        return root.path("workspace").asText() to (root.path("tokens").doubleIn(0.0..MAX_TOKENS.toDouble()) ?: 0.0)
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
        val revision = node.path("revision").longIn(NON_NEGATIVE)
        val body = node.path("body").textOrNull()
        if (name != null && revision != null && body != null) return StoreItem(name, revision, body)
        log.warn("item $name", null, "ignored an invalid item in a copy from another VM")
        return null
    }

    /** The record in [node], or null if any part of it is invalid. */
    private fun vm(node: JsonNode): VmRecord? {
        val invalid = invalidField(node)
        if (invalid == null) {
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
        log.warn("VM ${node.path("name").asText()}", "$invalid: missing or invalid", "ignored a VM's record")
        return null
    }

    private fun invalidField(node: JsonNode): String? =
        when {
            node.path("name").textOrNull().isNullOrEmpty() -> "name"
            !HostPort.isUsable(node.path("front").textOrNull().orEmpty()) -> "front"
            !HostPort.isUsable(node.path("control").textOrNull().orEmpty()) -> "control"
            !node.path("failure_domain").isTextual -> "failure_domain"
            node.path("started_at").longIn(NON_NEGATIVE) == null -> "started_at"
            node.path("beat").longIn(NON_NEGATIVE) == null -> "beat"
            node.path("tokens").any { it.longIn(0..MAX_TOKENS) == null } -> "tokens"
            else -> null
        }
}
