package fireflyhinge.daemon.config

import fireflyhinge.store.StoredObject
import java.util.concurrent.CopyOnWriteArrayList

/** Listeners to changes of single objects, by kind. */
internal class ObjectListeners {
    private val listeners = CopyOnWriteArrayList<Pair<String, (StoredObject) -> Unit>>()

    fun add(kind: String, listener: (StoredObject) -> Unit) {
        listeners += kind to listener
    }

    fun notify(changed: List<StoredObject>) =
        changed.forEach { stored -> listeners.filter { it.first == stored.name.kind }.forEach { it.second(stored) } }
}
