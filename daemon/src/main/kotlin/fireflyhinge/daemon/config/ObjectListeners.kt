package fireflyhinge.daemon.config

import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.store.StoredObject
import java.util.concurrent.CopyOnWriteArrayList

/** Listeners to changes of single objects, by kind. */
internal class ObjectListeners {
    private val listeners = CopyOnWriteArrayList<Pair<String, (StoredObject) -> Unit>>()

    fun add(kind: String, listener: (StoredObject) -> Unit) {
        listeners += kind to listener
    }

    fun notify(changed: List<StoredObject>) =
        listeners.forEach { (kind, listener) -> notify(changed.filter { it.name.kind == kind }, listener) }

    /** An object on which a listener fails costs neither the other objects nor the other listeners. */
    fun notify(objects: List<StoredObject>, listener: (StoredObject) -> Unit) =
        objects.forEach { LoopTask("listener to ${it.name}") { listener(it) }.run() }
}
