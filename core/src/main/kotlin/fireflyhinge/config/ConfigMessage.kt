package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Message of `POST /peer/v1/config`. All parts are optional.
 *
 * @property objects objects for the receiver to merge.
 * @property recent versions that changed last at the sender, sent with [digest] to open a comparison.
 * @property buckets hashes of all buckets, sent when recent changes did not explain the difference.
 * @property wanted objects that the sender asks for.
 */
data class ConfigMessage(
    val from: String,
    val objects: List<StoredObject> = emptyList(),
    val recent: List<ObjectVersion> = emptyList(),
    val digest: ConfigDigest? = null,
    val buckets: List<Long> = emptyList(),
    val wanted: List<ObjectName> = emptyList(),
)
