package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.forward.FeedAnswer
import fireflyhinge.forward.FeedItem
import fireflyhinge.forward.FeedKind
import fireflyhinge.forward.VmRecord

/** JSON form of the messages between VMs. Trees, not reflection, because classes load slowly at a start. */
internal object PeerMessages {
    private val mapper = ObjectMapper()

    fun encode(exchange: PeerExchange): ByteArray {
        val root = mapper.createObjectNode()
        val list = root.putArray("vms")
        exchange.vms.forEach { list.add(encode(it)) }
        val revisions = root.putObject("revisions")
        exchange.revisions.forEach { (kind, revision) -> revisions.put(kind.name, revision) }
        return mapper.writeValueAsBytes(root)
    }

    fun exchange(bytes: ByteArray): PeerExchange {
        val root = mapper.readTree(bytes)
        val vms = root.path("vms").map(::vm)
        val revisions = FeedKind.entries.associateWith { root.path("revisions").path(it.name).asLong() }
        return PeerExchange(vms, revisions)
    }

    fun encode(listing: FeedAnswer.Listing): ByteArray {
        val root = mapper.createObjectNode().put("revision", listing.revision)
        val list = root.putArray("items")
        listing.items.forEach { item ->
            list.addObject().put("name", item.name).put("revision", item.revision).put("body", item.body)
        }
        return mapper.writeValueAsBytes(root)
    }

    fun listing(bytes: ByteArray): FeedAnswer.Listing {
        val root = mapper.readTree(bytes)
        val items =
            root.path(
                "items"
            ).map { FeedItem(it.path("name").asText(), it.path("revision").asLong(), it.path("body").asText()) }
        return FeedAnswer.Listing(items, root.path("revision").asLong())
    }

    fun encodeLoan(workspace: String, tokens: Double): ByteArray =
        mapper.writeValueAsBytes(mapper.createObjectNode().put("workspace", workspace).put("tokens", tokens))

    fun loan(bytes: ByteArray): Pair<String, Double> {
        val root = mapper.readTree(bytes)
        return root.path("workspace").asText() to root.path("tokens").asDouble()
    }

    private fun encode(vm: VmRecord): ObjectNode =
        mapper
            .createObjectNode()
            .put("name", vm.name)
            .put("front", vm.front)
            .put("control", vm.control)
            .put("failure_domain", vm.failureDomain)
            .put("started_at", vm.startedAt)
            .put("beat", vm.beat)
            .put("ready", vm.ready)
            .also { node -> vm.tokens.forEach { (id, count) -> node.withObject("/tokens").put(id, count) } }

    private fun vm(node: JsonNode) =
        VmRecord(
            name = node.path("name").asText(),
            front = node.path("front").asText(),
            control = node.path("control").asText(),
            failureDomain = node.path("failure_domain").asText(),
            startedAt = node.path("started_at").asLong(),
            beat = node.path("beat").asLong(),
            ready = node.path("ready").asBoolean(),
            tokens = node.path("tokens").properties().associate { it.key to it.value.asLong() },
        )
}
