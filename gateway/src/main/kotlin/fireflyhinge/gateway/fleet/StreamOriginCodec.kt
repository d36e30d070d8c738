package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.ObjectMapper
import fireflyhinge.forward.StreamOrigin
import fireflyhinge.textOrNull

/** JSON codec of where streams began, for other VMs and for the store. Invalid entries are left out. */
internal object StreamOriginCodec {
    private val mapper = ObjectMapper()

    fun encode(origins: Map<String, StreamOrigin>): ByteArray {
        val root = mapper.createObjectNode()
        val streams = root.putArray("streams")
        origins.entries.groupBy({ it.value }, { it.key }).forEach { (origin, ids) ->
            val node = streams.addObject().put("service", origin.service).put("version", origin.version)
            ids.forEach(node.putArray("ids")::add)
        }
        return mapper.writeValueAsBytes(root)
    }

    fun decode(bytes: ByteArray): Map<String, StreamOrigin> =
        mapper.readTree(bytes).path("streams").flatMap { node ->
            val service = node.path("service").textOrNull()
            val version = node.path("version").textOrNull()
            val ids = node.path("ids").mapNotNull { it.textOrNull() }
            if (service == null || version == null) emptyList() else ids.map { it to StreamOrigin(service, version) }
        }.toMap()

    fun encodeIds(ids: Collection<String>): ByteArray {
        val root = mapper.createObjectNode()
        ids.forEach(root.putArray("ids")::add)
        return mapper.writeValueAsBytes(root)
    }

    fun decodeIds(bytes: ByteArray): List<String> = mapper.readTree(bytes).path("ids").mapNotNull { it.textOrNull() }
}
