package fireflyhinge.soak

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.databind.util.RawValue
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors

/** Stands in for the platform's store: objects by kind and name, lists, watches and conditional writes. */
internal class StoreStandin : AutoCloseable {
    private class Change(val kind: String, val revision: Long, val item: ObjectNode, val deleted: Boolean = false)

    private val log = LoggerFactory.getLogger(javaClass)
    private val mapper = ObjectMapper()
    private val objects = LinkedHashMap<Pair<String, String>, ObjectNode>()
    private val changes = ArrayList<Change>()
    private var revision = 1L
    private val lock = Object()
    private val threads = Executors.newCachedThreadPool { Thread(it, "store").apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)

    @Volatile
    var mode = StoreMode.SOUND

    val port: Int get() = server.address.port

    init {
        server.createContext("/-/objects/", ::handle)
        server.executor = threads
        server.start()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    /** Writes an object as another writer than the system does. */
    fun put(kind: String, name: String, spec: JsonNode): ObjectNode =
        synchronized(lock) {
            val item = mapper.createObjectNode()
            item.putObject("metadata").put("name", name).put("revision", ++revision)
            item.set<JsonNode>("spec", spec)
            objects[kind to name] = item
            changes += Change(kind, revision, item)
            lock.notifyAll()
            item
        }

    /** Writes an object whose spec is served as [text], whether that is JSON or not. */
    fun putText(kind: String, name: String, text: String) {
        put(kind, name, mapper.nodeFactory.rawValueNode(RawValue(text)))
    }

    /** Removes an object as another writer than the system does. */
    fun remove(kind: String, name: String) {
        synchronized(lock) {
            val item = objects.remove(kind to name) ?: return
            changes += Change(kind, ++revision, item, deleted = true)
            lock.notifyAll()
        }
    }

    private fun handle(exchange: HttpExchange) {
        try {
            if (mode == StoreMode.SLOW) Thread.sleep(SLOW_MILLIS)
            val (status, body) = if (mode == StoreMode.DOWN) DOWN to mapper.createObjectNode() else answer(exchange)
            val bytes = mapper.writeValueAsBytes(body)
            exchange.responseHeaders.add("Content-Type", "application/json")
            exchange.sendResponseHeaders(status, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        } catch (e: IOException) {
            log.debug("a caller of the store left: {}", e.message)
        }
    }

    private fun answer(exchange: HttpExchange): Pair<Int, JsonNode> {
        val path = exchange.requestURI.path.removePrefix("/-/objects/").split('/')
        val parameters = exchange.requestURI.query.orEmpty().split('&')
        val query = parameters.associate { it.substringBefore('=') to it.substringAfter('=') }
        val method = exchange.requestMethod
        val name = path.getOrNull(1)
        val since = query["watch"]?.toLong()
        return when {
            method == "DELETE" -> remove(path[0], name.orEmpty()).let { OK to EMPTY }
            method in WRITES -> write(method, path[0], mapper.readTree(exchange.requestBody))
            name != null -> synchronized(lock) { objects[path[0] to name] }?.let { OK to it } ?: (ABSENT to EMPTY)
            since != null -> watch(path[0], since, query["waitMs"]?.toLong() ?: 0)
            else -> list(path[0])
        }
    }

    private fun write(method: String, kind: String, item: JsonNode): Pair<Int, JsonNode> =
        synchronized(lock) {
            val name = item.path("metadata").path("name").asText()
            val held = objects[kind to name]
            val wanted = item.path("metadata").path("revision")
            val stale = !wanted.isMissingNode && wanted.asLong() != held?.path("metadata")?.path("revision")?.asLong()
            when {
                held != null && (method == "POST" || stale) -> CONFLICT to held
                else -> OK to put(kind, name, item.path("spec"))
            }
        }

    private fun list(kind: String): Pair<Int, JsonNode> =
        synchronized(lock) {
            val root = mapper.createObjectNode().put("hasMore", false).put("at", revision)
            root.putArray("items").addAll(objects.filterKeys { it.first == kind }.values)
            OK to root
        }

    private fun watch(kind: String, since: Long, waitMillis: Long): Pair<Int, JsonNode> =
        synchronized(lock) {
            val end = System.currentTimeMillis() + waitMillis
            while (changes.none { it.kind == kind && it.revision > since }) {
                val left = end - System.currentTimeMillis()
                if (left <= 0) break
                lock.wait(left)
            }
            val root = mapper.createObjectNode().put("at", revision)
            val events = root.putArray("events")
            changes.filter { it.kind == kind && it.revision > since }.forEach { change ->
                events.addObject().put("deleted", change.deleted).set<JsonNode>("object", change.item)
            }
            OK to root
        }

    private companion object {
        const val OK = 200
        const val ABSENT = 404
        const val CONFLICT = 409
        const val DOWN = 503
        const val SLOW_MILLIS = 500L
        val WRITES = setOf("POST", "PUT")
        val EMPTY: ObjectNode = ObjectMapper().createObjectNode()
    }
}
