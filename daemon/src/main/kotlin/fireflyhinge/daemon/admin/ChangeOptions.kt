package fireflyhinge.daemon.admin

/**
 * Options of one operator's change.
 *
 * @property changeId identifies the change; a change sent again with the same id is applied once.
 * @property expectedVersion version that the object must have (0: absent), or null to change whatever is there.
 */
data class ChangeOptions(val changeId: String, val expectedVersion: Long? = null)
