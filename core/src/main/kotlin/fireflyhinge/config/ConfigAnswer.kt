package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Answer to a [ConfigMessage].
 *
 * @property objects objects that are newer at the receiver, and those that were wanted.
 * @property wanted objects that are newer at the sender.
 * @property settled whether both copies are equal once these objects are exchanged.
 * @property current whether the receiver is sure to hold the newest configuration, apart from changes of the last
 *   seconds.
 * @property differing buckets whose hashes differ; [versions] lists all that the receiver holds in them.
 */
data class ConfigAnswer(
    val objects: List<StoredObject> = emptyList(),
    val wanted: List<ObjectName> = emptyList(),
    val settled: Boolean = true,
    val current: Boolean = true,
    val differing: Set<Int> = emptySet(),
    val versions: List<ObjectVersion> = emptyList(),
)
