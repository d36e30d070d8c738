package fireflyhinge.forward

/**
 * State of a VM's copy of the store's objects of one kind, as told to other VMs.
 *
 * @property revision revision of the copy.
 * @property digest digest of the objects, equal for copies with the same objects; empty if unknown.
 * @property ageMillis time since these were known to be all objects in the store; null if unknown.
 */
data class CopyVersion(val revision: Long, val digest: String = "", val ageMillis: Long? = null)
