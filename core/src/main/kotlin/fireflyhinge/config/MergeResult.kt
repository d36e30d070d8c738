package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Result of merging objects into a copy.
 *
 * @property changed objects that raised a version of the copy.
 * @property errors validation errors of the invalid objects; their last valid version stays in effect.
 */
data class MergeResult(
    val copy: ConfigCopy,
    val changed: List<StoredObject>,
    val errors: Map<ObjectName, List<ConfigError>>,
)
