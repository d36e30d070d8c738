package fireflyhinge.config

import fireflyhinge.store.ObjectName

/**
 * Versions of one object in a copy.
 *
 * @property version highest version seen.
 * @property validVersion highest version that passed validation, 0 if none did.
 */
data class ObjectVersion(val kind: String, val name: String, val version: Long, val validVersion: Long = version) {
    /** Name of the object. */
    internal fun objectName(): ObjectName = ObjectName(kind, name)
}
