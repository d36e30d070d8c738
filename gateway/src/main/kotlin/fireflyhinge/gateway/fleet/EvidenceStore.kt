package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.ObjectMapper
import fireflyhinge.auth.sha256Hex
import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.Trait
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.gateway.repeatForever
import fireflyhinge.longIn
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Keeps the evidence on traits that are refused in the platform's store, one object a trait, for VMs that start and for
 * those that reach no other VM. For each trait one VM writes; the others step in one after another if it does not.
 */
internal class EvidenceStore(
    private val evidence: CrashEvidence,
    private val fleet: FleetView,
    private val store: PlatformStore,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val mapper = ObjectMapper()
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Monotonic time of the newest crash in each stored object, by name; null in one that cannot be read. */
    private var stored = emptyMap<String, Long?>()

    /** Times at which this VM found that an object should be written or removed, by name. */
    private val due = HashMap<String, Long>()

    /** Tells that the evidence has changed. */
    fun notifyChange() {
        changes.trySend(Unit)
    }

    /** Takes up the objects in [cache]. */
    fun read(cache: StoreObjectCache) {
        val reports = cache.items().mapValues { decode(it.value) }
        reports.values.forEach(evidence::merge)
        // An object that is only retained was lost and has to be written again.
        stored = cache.listing().items.associate { it.name to newestAt(reports[it.name] ?: decode(it)) }
        notifyChange()
    }

    /** Keeps the store's objects up to date until cancelled. */
    suspend fun run(): Nothing =
        repeatForever(log, "storing evidence on crashes") {
            val pending = update()
            val wait = evidence.verdicts().nextChangeMillis ?: Long.MAX_VALUE
            if (pending) delay(RETRY_MILLIS) else withTimeoutOrNull(wait) { changes.receive() }
        }

    /** Writes and removes what it is this VM's turn to. Returns whether anything remains to be done. */
    private suspend fun update(): Boolean {
        val named = evidence.verdicts().combinations.flatten().associateBy(::nameOf)
        val outdated = named.filter { (name, trait) -> isOutdated(stored[name], trait) }
        val ended = stored.keys - named.keys
        due.keys.retainAll(outdated.keys + ended)
        outdated.filterKeys { isTurn(it, delayMillis = 0) }.forEach { (name, trait) -> put(name, trait) }
        ended.filter { isTurn(it, REMOVE_DELAY_MILLIS) }.forEach { name ->
            val removed = store.remove(StoreObjectKind.CRASHES, name)
            log.atInfo().addKeyValue("object", name).addKeyValue("confirmed", removed)
                .log("removed evidence on crashes from the store")
        }
        return due.isNotEmpty()
    }

    /** Whether this VM is to write or remove object [name] now: from [delayMillis] on, one VM after another. */
    private fun isTurn(name: String, delayMillis: Long): Boolean {
        val since = due.getOrPut(name) { monotonicMillis() }
        return monotonicMillis() - since >= delayMillis + minOf(rank(name), MAX_RANK) * TURN_MILLIS
    }

    private suspend fun put(name: String, trait: Trait) {
        val body =
            EvidenceCodec.encode(evidence.on(setOf(trait))).put("written_at", System.currentTimeMillis()).toString()
        val stored = store.put(StoreObjectKind.CRASHES, name, body)
        log.atInfo().addKeyValue("object", name).addKeyValue("trait", trait.toString())
            .addKeyValue("confirmed", stored).log("wrote evidence on crashes to the store")
    }

    /** Whether evidence with the newest crash at [storedAt] lets the verdict on [trait] end much too early. */
    private fun isOutdated(storedAt: Long?, trait: Trait): Boolean {
        val knownAt = newestAt(evidence.on(setOf(trait)))
        return storedAt == null || knownAt != null && knownAt - storedAt > OUTDATED_MILLIS
    }

    private fun newestAt(report: EvidenceReport): Long? =
        report.traits.flatMap { it.sightings }.minOfOrNull { it.ageMillis }?.let { monotonicMillis() - it }

    private fun decode(item: StoreItem): EvidenceReport =
        try {
            val root = mapper.readTree(item.body)
            val writtenAt = root.path("written_at").longIn(0..Long.MAX_VALUE)
            val age = writtenAt?.let { maxOf(0, System.currentTimeMillis() - it) }
            if (age == null) EvidenceReport() else EvidenceCodec.decode(root, olderMillis = age)
        } catch (e: JsonProcessingException) {
            log.atWarn().addKeyValue("object", item.name).addKeyValue("reason", e.originalMessage)
                .log("ignored malformed evidence on crashes in the store")
            EvidenceReport()
        }

    /** Position of this VM among the live ones in an order that differs by [name]. */
    private fun rank(name: String): Int = fleet.ordered(name).indexOfFirst { it.name == fleet.self.name }

    private companion object {
        /** Time in which a VM sees what the one before it wrote. */
        const val TURN_MILLIS = 1_500L

        /** Ranks behind this one write at the same time. */
        const val MAX_RANK = 5
        const val RETRY_MILLIS = 1_000L

        /** Time in which VMs that know different evidence come to agree. */
        const val REMOVE_DELAY_MILLIS = 20_000L
        const val OUTDATED_MILLIS = 30_000L

        /** Name of the object with the evidence on [trait]. */
        fun nameOf(trait: Trait): String = sha256Hex(trait.toString().toByteArray()).take(NAME_CHARS)

        private const val NAME_CHARS = 32
    }
}
