package fireflyhinge.store

/**
 * The platform's VM list.
 *
 * @property complete whether every entry could be read. An incomplete list is no evidence that a VM was removed.
 */
data class VmList(val entries: List<VmEntry>, val complete: Boolean = true)
