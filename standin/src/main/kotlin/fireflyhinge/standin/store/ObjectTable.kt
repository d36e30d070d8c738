package fireflyhinge.standin.store

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WatchBatch
import fireflyhinge.store.WriteCondition
import java.util.TreeMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Versioned objects. Versions are drawn from one counter, so a version is also a position for watches. */
internal class ObjectTable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<ObjectName, StoredObject>()
    private val byVersion = TreeMap<Long, StoredObject>()
    private var last = 0L

    fun get(name: ObjectName): StoredObject? = lock.withLock { objects[name] }

    fun list(kind: String): List<StoredObject> =
        lock.withLock { objects.values.filter { it.name.kind == kind } }.sortedBy { it.name }

    fun put(name: ObjectName, value: String, condition: WriteCondition): PutResult =
        lock.withLock {
            val current = objects[name]
            val holds =
                when (condition) {
                    is WriteCondition.Absent -> current == null
                    is WriteCondition.AtVersion -> current?.version == condition.version
                }
            if (!holds) return PutResult.Conflict(current)
            val written = StoredObject(name = name, version = ++last, value = value)
            objects.put(name, written)?.let { byVersion.remove(it.version) }
            byVersion[written.version] = written
            changed.signalAll()
            PutResult.Written(written.version)
        }

    /** Waits up to [waitMillis] for changes after [position] of objects of [kinds]; empty means all kinds. */
    fun watch(position: Long, waitMillis: Long, kinds: Set<String>): WatchBatch =
        lock.withLock {
            var left = TimeUnit.MILLISECONDS.toNanos(waitMillis)
            var batch = changesAfter(position, kinds)
            while (batch.objects.isEmpty() && left > 0) {
                left = changed.awaitNanos(left)
                batch = changesAfter(batch.position, kinds)
            }
            batch
        }

    private fun changesAfter(position: Long, kinds: Set<String>): WatchBatch {
        val found =
            byVersion
                .tailMap(position, false)
                .values
                .asSequence()
                .filter { kinds.isEmpty() || it.name.kind in kinds }
                .take(MAX_BATCH)
                .toList()
        val next = if (found.size == MAX_BATCH) found.last().version else maxOf(last, position)
        return WatchBatch(objects = found, position = next)
    }

    private companion object {
        const val MAX_BATCH = 200
    }
}
