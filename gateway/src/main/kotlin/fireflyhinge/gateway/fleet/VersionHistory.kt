package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import fireflyhinge.forward.CallBackoff
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ServiceVersions
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.repeatForever
import fireflyhinge.longIn
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Keeps the recent software versions of each service in the platform's store, one object a service, for VMs that start.
 * The first VMs of the fleet write them, one after another, whenever a version comes or goes.
 */
internal class VersionHistory(
    private val versions: ServiceVersions,
    private val fleet: FleetView,
    private val store: PlatformStore,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val mapper = ObjectMapper()
    private val backoff = CallBackoff()
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Tells that a version came or went. */
    fun notifyChange() {
        changes.trySend(Unit)
    }

    /** Reads what is stored, and then keeps it up to date until cancelled. */
    suspend fun run(): Nothing {
        var failures = 0
        while (!read()) delay(backoff.millis(++failures))
        repeatForever(log, "storing software versions") {
            changes.receive()
            val rank = fleet.ordered(ORDER).indexOfFirst { it.name == fleet.self.name }
            if (rank < WRITERS) {
                delay(rank * TURN_MILLIS)
                while (!write()) delay(RETRY_MILLIS)
            }
        }
    }

    private suspend fun read(): Boolean {
        val listing = store.list(StoreObjectKind.VERSIONS) as? StoreReadResult.Listing ?: return false
        val stored = listing.items.associate { it.name to decode(it) }
        if (stored.isNotEmpty()) versions.recorded(stored)
        log.atInfo().addKeyValue("versions", stored).log("read the recent software versions")
        return true
    }

    /** Writes what the stored objects lack. Returns whether the store has all of it. */
    private suspend fun write(): Boolean {
        val listing = store.list(StoreObjectKind.VERSIONS) as? StoreReadResult.Listing ?: return false
        val stored = listing.items.associate { it.name to decode(it) }
        return versions.history().filter { (service, held) -> differ(stored[service], held) }.all { (service, held) ->
            store.put(StoreObjectKind.VERSIONS, service, encode(held)).also { confirmed ->
                log.atInfo().addKeyValue("service", service).addKeyValue("versions", held)
                    .addKeyValue("confirmed", confirmed).log("wrote the recent software versions")
            }
        }
    }

    private fun differ(stored: Map<String, Long?>?, held: Map<String, Long?>): Boolean =
        stored == null || held.any { (name, gone) -> name !in stored || (gone == null) != (stored[name] == null) }

    private fun encode(held: Map<String, Long?>): String {
        val root = mapper.createObjectNode()
        val now = System.currentTimeMillis()
        val list = root.putArray("versions")
        held.forEach { (version, gone) ->
            val node = list.addObject().put("version", version)
            if (gone != null) node.put("gone_at", now - gone)
        }
        return root.toString()
    }

    /** How long ago each version in [item] went; null for one that had not. */
    private fun decode(item: StoreItem): Map<String, Long?> =
        try {
            val now = System.currentTimeMillis()
            mapper.readTree(item.body).path("versions").associate { node ->
                val gone = node.path("gone_at").longIn(0..Long.MAX_VALUE)
                node.path("version").asText() to gone?.let { maxOf(0, now - it) }
            }
        } catch (e: JsonProcessingException) {
            log.atWarn().addKeyValue("object", item.name).addKeyValue("reason", e.originalMessage)
                .log("ignored malformed software versions in the store")
            emptyMap()
        }

    private companion object {
        const val ORDER = "versions"

        /** VMs that write; the others only read. */
        const val WRITERS = 3

        /** Time in which a VM writes what the next one then finds. */
        const val TURN_MILLIS = 1_500L
        const val RETRY_MILLIS = 500L
    }
}
