package fireflyhinge.store

/**
 * An object as the platform store holds it.
 *
 * @property version set by the store; each write of the same object gets a higher one.
 * @property value JSON text of at most 1 MB.
 */
data class StoredObject(val name: ObjectName, val version: Long, val value: String)
