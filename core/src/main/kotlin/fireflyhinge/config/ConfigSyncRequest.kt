package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/**
 * Request of `POST /peer/v1/config`. All parts are optional.
 *
 * @property objects objects for the receiver to merge.
 * @property recent most recently changed versions at the sender, sent with [digest] to start a comparison.
 * @property buckets hashes of all buckets, sent if the recent changes do not account for the difference.
 * @property wanted objects that the sender requests.
 */
data class ConfigSyncRequest(
    val from: String,
    val objects: List<StoredObject> = emptyList(),
    val recent: List<ObjectVersion> = emptyList(),
    val digest: ConfigDigest? = null,
    val buckets: List<Long> = emptyList(),
    val wanted: List<ObjectName> = emptyList(),
)
