package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Result of merging objects into a copy.
 *
 * @property changed objects that raised a version of the copy.
 * @property faults faults of those that are not valid; their last valid version stays in force.
 */
data class ConfigMerge(
    val copy: ConfigCopy,
    val changed: List<StoredObject>,
    val faults: Map<ObjectName, List<ConfigFault>>,
)
