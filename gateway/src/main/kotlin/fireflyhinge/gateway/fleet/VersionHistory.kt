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
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Keeps the recent software versions of each service in the platform's store, one object a service, for VMs that start.
 * The first VMs of the fleet write them, one after another, whenever a version comes or goes.
 *
 * An object states the era of the store in which a VM that knew all recent versions wrote it. After a restore it may
 * lack versions until such a VM writes it again.
 */
internal class VersionHistory(
    private val versions: ServiceVersions,
    private val fleet: FleetView,
    private val store: PlatformStore,
) {
    /** What is stored of one service: how long ago each version went; null for one that had not. */
    private class Stored(val era: Long, val versions: Map<String, Long?>)

    private val log = LoggerFactory.getLogger(javaClass)
    private val mapper = ObjectMapper()
    private val backoff = CallBackoff()
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Tells that a version came or went. */
    fun notifyChange() {
        changes.trySend(Unit)
    }

    /** Reads what is stored, and then keeps it up to date until cancelled. */
    suspend fun run(): Nothing =
        coroutineScope {
            var failures = 0
            while (read() == null) delay(backoff.millis(++failures))
            launch { notifyOfEras() }
            launch {
                delay(ServiceVersions.MEMORY_MILLIS)
                notifyChange()
            }
            repeatForever(log, "storing software versions") {
                changes.receive()
                val rank = fleet.ordered(ORDER).indexOfFirst { it.name == fleet.self.name }
                if (rank < WRITERS) {
                    delay(rank * TURN_MILLIS)
                    while (!write()) delay(RETRY_MILLIS)
                }
            }
        }

    private suspend fun notifyOfEras(): Nothing {
        var era = store.era.value
        while (true) {
            store.era.awaitAbove(era)
            era = store.era.value
            notifyChange()
        }
    }

    /** Takes up what is stored and returns it; null if the store does not tell. */
    private suspend fun read(): Map<String, Stored>? {
        val listing = store.list(StoreObjectKind.VERSIONS) as? StoreReadResult.Listing ?: return null
        val stored = listing.items.associate { it.name to decode(it) }
        val complete = stored.filterValues { it.era == listing.era }.keys
        versions.recorded(stored.mapValues { it.value.versions }, complete)
        log.atInfo().addKeyValue("versions", stored.mapValues { it.value.versions }).addKeyValue("complete", complete)
            .addKeyValue("era", listing.era).log("read the recent software versions")
        return stored
    }

    /** Writes what the stored objects lack. Returns whether the store has all of it. */
    private suspend fun write(): Boolean {
        val stored = read() ?: return false
        return versions.history().all { (service, held) ->
            val known = stored[service]
            val era = if (versions.knowsAll(service)) store.era.value else known?.era ?: INCOMPLETE
            known != null && known.era == era && !differ(known.versions, held) || write(service, era, held)
        }
    }

    private suspend fun write(service: String, era: Long, held: Map<String, Long?>): Boolean {
        val confirmed = store.put(StoreObjectKind.VERSIONS, service, encode(era, held))
        log.atInfo().addKeyValue("service", service).addKeyValue("versions", held).addKeyValue("era", era)
            .addKeyValue("confirmed", confirmed).log("wrote the recent software versions")
        return confirmed
    }

    private fun differ(stored: Map<String, Long?>, held: Map<String, Long?>): Boolean =
        held.any { (name, gone) -> name !in stored || (gone == null) != (stored[name] == null) }

    private fun encode(era: Long, held: Map<String, Long?>): String {
        val root = mapper.createObjectNode().put("era", era)
        val now = System.currentTimeMillis()
        val list = root.putArray("versions")
        held.forEach { (version, gone) ->
            val node = list.addObject().put("version", version)
            if (gone != null) node.put("gone_at", now - gone)
        }
        return root.toString()
    }

    private fun decode(item: StoreItem): Stored =
        try {
            val now = System.currentTimeMillis()
            val root = mapper.readTree(item.body)
            val held =
                root.path("versions").associate { node ->
                    val gone = node.path("gone_at").longIn(0..Long.MAX_VALUE)
                    node.path("version").asText() to gone?.let { maxOf(0, now - it) }
                }
            Stored(root.path("era").asLong(INCOMPLETE), held)
        } catch (e: JsonProcessingException) {
            log.atWarn().addKeyValue("object", item.name).addKeyValue("reason", e.originalMessage)
                .log("ignored malformed software versions in the store")
            Stored(INCOMPLETE, emptyMap())
        }

    private companion object {
        const val ORDER = "versions"

        /** Stands for the era of an object whose writer may not have known all versions. */
        const val INCOMPLETE = -1L

        /** VMs that write; the others only read. */
        const val WRITERS = 3

        /** Time in which a VM writes what the next one then finds. */
        const val TURN_MILLIS = 1_500L
        const val RETRY_MILLIS = 500L
    }
}
