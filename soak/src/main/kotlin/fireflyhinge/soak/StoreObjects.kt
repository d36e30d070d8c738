package fireflyhinge.soak

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.node.ObjectNode

/** Objects of the store by kind and name, their history, and a backup from which they can be restored. Thread-safe. */
internal class StoreObjects {
    private class Change(val kind: String, val revision: Long, val item: ObjectNode, val deleted: Boolean = false)

    private class Backup(val objects: Map<Pair<String, String>, ObjectNode>, val revision: Long)

    private val mapper = ObjectMapper()
    private val objects = LinkedHashMap<Pair<String, String>, ObjectNode>()
    private val changes = ArrayList<Change>()
    private var revision = 1L

    /** Era of the store; increases by one with each restore. */
    var era = 1L
        get() = synchronized(lock) { field }
        private set

    /** Oldest revision from which changes are known. */
    private var oldestRevision = 0L
    private var backup: Backup? = null
    private var lost = emptyMap<Pair<String, String>, ObjectNode>()
    private val lock = Object()

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

    /** Removes an object as another writer than the system does. */
    fun remove(kind: String, name: String) {
        synchronized(lock) {
            val item = objects.remove(kind to name) ?: return
            changes += Change(kind, ++revision, item, deleted = true)
            lock.notifyAll()
        }
    }

    /** Takes a backup of all objects. */
    fun takeBackup() {
        synchronized(lock) { backup = Backup(LinkedHashMap(objects), revision) }
    }

    /** Restores the backup: later writes are lost, their revisions are issued again, and the history is gone. */
    fun restore() {
        synchronized(lock) {
            val held = checkNotNull(backup) { "no backup" }
            lost = LinkedHashMap(objects)
            objects.clear()
            objects.putAll(held.objects)
            changes.clear()
            revision = held.revision
            oldestRevision = held.revision
            era++
            lock.notifyAll()
        }
    }

    /** Writes and removes, as their writers do after a restore, the objects of [kinds] that are as in the backup. */
    fun rewriteLost(kinds: Set<String>) {
        synchronized(lock) {
            val restored = checkNotNull(backup) { "no backup" }.objects
            val stale = (restored.keys + lost.keys).filter { it.first in kinds && objects[it] === restored[it] }
            stale.filter { lost[it] !== restored[it] }.forEach { (kind, name) ->
                lost[kind to name]?.let { put(kind, name, it.path("spec")) } ?: remove(kind, name)
            }
        }
    }

    /** Object [name] of [kind], or null. */
    fun item(kind: String, name: String): ObjectNode? = synchronized(lock) { objects[kind to name] }

    /** Writes [item] as a caller does: POST creates it, PUT needs the current revision. */
    fun write(method: String, kind: String, item: JsonNode): Pair<Int, JsonNode> =
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

    /** Lists the objects of [kind]. */
    fun list(kind: String): Pair<Int, JsonNode> =
        synchronized(lock) {
            val root = mapper.createObjectNode().put("hasMore", false).put("at", revision)
            root.putArray("items").addAll(objects.filterKeys { it.first == kind }.values)
            OK to root
        }

    /** Waits up to [waitMillis] for changes of [kind] since [since]. */
    fun watch(kind: String, since: Long, waitMillis: Long): Pair<Int, JsonNode> =
        synchronized(lock) {
            val end = System.currentTimeMillis() + waitMillis
            while (!gone(since) && changes.none { it.kind == kind && it.revision > since }) {
                val left = end - System.currentTimeMillis()
                if (left <= 0) break
                lock.wait(left)
            }
            if (gone(since)) return@synchronized GONE to EMPTY
            val root = mapper.createObjectNode().put("at", revision)
            val events = root.putArray("events")
            changes.filter { it.kind == kind && it.revision > since }.forEach { change ->
                events.addObject().put("deleted", change.deleted).set<JsonNode>("object", change.item)
            }
            OK to root
        }

    /** Whether the history since [since] is gone, or a restore has taken the revision back. */
    private fun gone(since: Long): Boolean = since < oldestRevision || since > revision

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val GONE = 410
        val EMPTY: ObjectNode = ObjectMapper().createObjectNode()
    }
}
