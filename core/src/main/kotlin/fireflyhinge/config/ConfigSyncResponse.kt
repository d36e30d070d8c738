package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Response to a [ConfigSyncRequest].
 *
 * @property objects objects that are newer at the receiver, and those that the sender requested.
 * @property wanted objects that are newer at the sender.
 * @property settled whether both copies are equal after these objects were exchanged.
 * @property current whether the receiver certainly has the newest configuration, except for changes of the last few
 *   seconds.
 * @property differing buckets with different hashes; [versions] lists all versions that the receiver has in them.
 */
data class ConfigSyncResponse(
    val objects: List<StoredObject> = emptyList(),
    val wanted: List<ObjectName> = emptyList(),
    val settled: Boolean = true,
    val current: Boolean = true,
    val differing: Set<Int> = emptySet(),
    val versions: List<ObjectVersion> = emptyList(),
)
