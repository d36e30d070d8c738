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
    /** The objects. */
    val objects = StoreObjects()

    private val log = LoggerFactory.getLogger(javaClass)
    private val mapper = ObjectMapper()
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
    fun put(kind: String, name: String, spec: JsonNode): ObjectNode = objects.put(kind, name, spec)

    /** Removes an object as another writer than the system does. */
    fun remove(kind: String, name: String) = objects.remove(kind, name)

    /** Writes an object whose spec is served as [text], whether that is JSON or not. */
    fun putText(kind: String, name: String, text: String) {
        put(kind, name, mapper.nodeFactory.rawValueNode(RawValue(text)))
    }

    private fun handle(exchange: HttpExchange) {
        try {
            if (mode == StoreMode.SLOW) Thread.sleep(SLOW_MILLIS)
            val (status, body) = if (mode == StoreMode.DOWN) DOWN to mapper.createObjectNode() else answer(exchange)
            val bytes = mapper.writeValueAsBytes(body)
            exchange.responseHeaders.add("Content-Type", "application/json")
            exchange.responseHeaders.add("Store-Era", objects.era.toString())
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
            method in WRITES -> objects.write(method, path[0], mapper.readTree(exchange.requestBody))
            name != null -> objects.item(path[0], name)?.let { OK to it } ?: (ABSENT to EMPTY)
            since != null -> objects.watch(path[0], since, query["waitMs"]?.toLong() ?: 0)
            else -> objects.list(path[0])
        }
    }

    private companion object {
        const val OK = 200
        const val ABSENT = 404
        const val DOWN = 503
        const val SLOW_MILLIS = 500L
        val WRITES = setOf("POST", "PUT")
        val EMPTY: ObjectNode = ObjectMapper().createObjectNode()
    }
}
