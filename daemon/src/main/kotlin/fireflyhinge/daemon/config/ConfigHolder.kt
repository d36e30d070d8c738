package fireflyhinge.daemon.config

import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.store.StoredObject
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** The daemon's copy of the configuration and those who listen to it. */
internal class ConfigHolder {
    private val log = LoggerFactory.getLogger(javaClass)
    private val lock = Any()
    private val listeners = CopyOnWriteArrayList<(ConfigSnapshot) -> Unit>()
    private val objectListeners = ObjectListeners()

    @Volatile
    var copy: ConfigCopy = ConfigCopy.EMPTY
        private set

    /** Merges [objects] and returns those that were new. Listeners run under the lock, so they see changes in order. */
    fun merge(objects: List<StoredObject>): List<StoredObject> =
        synchronized(lock) {
            val merged = copy.merge(objects)
            merged.errors.forEach { (name, faults) -> log.warn("{} is not valid and is left out: {}", name, faults) }
            if (merged.changed.isEmpty()) return emptyList()
            copy = merged.copy
            objectListeners.notify(merged.changed)
            listeners.forEach { LoopTask("listener to the configuration") { it(merged.copy.snapshot) }.run() }
            merged.changed
        }

    fun onChange(listener: (ConfigSnapshot) -> Unit) {
        listeners += listener
    }

    /** Registers [listener] and hands it the objects held already. */
    fun onObject(kind: String, listener: (StoredObject) -> Unit) =
        synchronized(lock) {
            objectListeners.add(kind, listener)
            objectListeners.notify(copy.stored(kind), listener)
        }
}
