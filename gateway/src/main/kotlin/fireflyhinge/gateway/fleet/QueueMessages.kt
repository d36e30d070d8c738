package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.doubleIn
import fireflyhinge.longIn
import fireflyhinge.textOrNull
import java.io.IOException

/** JSON codec of the messages about waiting requests. Decoding throws [IOException] if a field is invalid. */
internal object QueueMessages {
    private val mapper = ObjectMapper()
    private val MILLIS = -MAX_MILLIS..MAX_MILLIS

    fun encode(call: QueueCall): ByteArray {
        val root = named(call.queue).put("id", call.id).put("workspace", call.workspace).put("weight", call.weight)
        root.put("tokens", call.tokens).put("waited", call.waitedMillis).put("target", call.targetMillis)
        root.put("expires", call.expiresMillis).put("hold", call.holdMillis)
        call.refusedOffer?.let { root.put("refused", it) }
        if (call.avoid.isNotEmpty()) root.putArray("avoid").let { list -> call.avoid.forEach(list::add) }
        return mapper.writeValueAsBytes(root)
    }

    fun call(bytes: ByteArray): QueueCall {
        val root = mapper.readTree(bytes)
        return QueueCall(
            queue = name(root),
            id = root.text("id"),
            workspace = root.text("workspace"),
            weight = root.path("weight").doubleIn(MIN_WEIGHT..MAX_WEIGHT) ?: throw IOException("weight"),
            tokens = root.number("tokens", 0..MAX_TOKENS).toInt(),
            waitedMillis = root.number("waited", 0..MAX_MILLIS),
            targetMillis = root.number("target", MILLIS),
            expiresMillis = root.number("expires", MILLIS),
            holdMillis = root.number("hold", 0..MAX_HOLD_MILLIS),
            avoid = root.path("avoid").mapNotNullTo(HashSet()) { it.textOrNull() },
            refusedOffer = root.path("refused").longIn(0..Long.MAX_VALUE),
        )
    }

    fun encode(reply: QueueReply): ByteArray {
        val root = mapper.createObjectNode()
        when (reply) {
            is QueueReply.Offer -> root.put("offer", reply.number).put("replica", reply.replica)
            is QueueReply.Waiting -> root.put("place", reply.place)
            is QueueReply.Refused -> root.put("retry_after", reply.retryAfterMillis)
            QueueReply.Ended -> Unit
        }
        return mapper.writeValueAsBytes(root)
    }

    fun reply(bytes: ByteArray): QueueReply {
        val root = mapper.readTree(bytes)
        val offer = root.path("offer").longIn(0..Long.MAX_VALUE)
        val place = root.path("place").longIn(0..Int.MAX_VALUE.toLong())
        val retryAfter = root.path("retry_after").longIn(0..MAX_MILLIS)
        return when {
            offer != null -> QueueReply.Offer(offer, root.text("replica"))
            place != null -> QueueReply.Waiting(place.toInt())
            retryAfter != null -> QueueReply.Refused(retryAfter)
            else -> QueueReply.Ended
        }
    }

    fun encodeEnd(queue: QueueName, id: String, taken: Boolean): ByteArray =
        mapper.writeValueAsBytes(named(queue).put("id", id).put("taken", taken))

    /** The queue, the id of the wait, and whether it got capacity. */
    fun end(bytes: ByteArray): Triple<QueueName, String, Boolean> {
        val root = mapper.readTree(bytes)
        return Triple(name(root), root.text("id"), root.path("taken").asBoolean())
    }

    fun encodeFreed(queue: QueueName, replicas: Collection<String>): ByteArray {
        val root = named(queue)
        root.putArray("replicas").let { list -> replicas.forEach(list::add) }
        return mapper.writeValueAsBytes(root)
    }

    /** The queue and the replicas with free capacity. */
    fun freed(bytes: ByteArray): Pair<QueueName, List<String>> {
        val root = mapper.readTree(bytes)
        return name(root) to root.path("replicas").mapNotNull { it.textOrNull() }
    }

    private fun named(queue: QueueName): ObjectNode {
        val root = mapper.createObjectNode().put("service", queue.service).put("region", queue.region)
        return if (queue.parts == 1) root else root.put("part", queue.part).put("parts", queue.parts)
    }

    private fun name(root: JsonNode): QueueName {
        val parts = root.path("parts").longIn(1..MAX_PARTS) ?: 1
        val part = root.path("part").longIn(0 until parts) ?: 0
        return QueueName(root.text("service"), root.text("region"), part.toInt(), parts.toInt())
    }

    private const val MAX_MILLIS = 86_400_000L
    private const val MAX_HOLD_MILLIS = 2_000L
    private const val MAX_PARTS = 1_000L
    private const val MAX_TOKENS = 1_000_000_000L
    private const val MIN_WEIGHT = 1e-6
    private const val MAX_WEIGHT = 1e12
}

private fun JsonNode.text(field: String): String = path(field).textOrNull() ?: throw IOException(field)

private fun JsonNode.number(field: String, range: LongRange): Long =
    path(field).longIn(range) ?: throw IOException(field)
