package fireflyhinge.config

/**
 * Object `fences/<vm>`: an operator asserts that no process of the VM with an incarnation up to [incarnation] is
 * running.
 *
 * @property name id of the VM.
 */
data class Fence(val name: String, val incarnation: Long, val changeId: String = "", val deleted: Boolean = false)
