package fireflyhinge.store

/**
 * An object in the platform store.
 *
 * @property version assigned by the store; increases with each write of the object.
 * @property value JSON text of at most 1 MB.
 */
data class StoredObject(val name: ObjectName, val version: Long, val value: String)
