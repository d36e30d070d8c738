package fireflyhinge.forward

/**
 * State of a VM's copy of the store's objects of one kind, as told to other VMs.
 *
 * @property revision revision of the copy.
 * @property digest digest of the objects, equal for copies with the same objects; empty if unknown.
 * @property ageMillis time since these were known to be all objects in the store; null if unknown.
 * @property certainAgeMillis the same, since the call that showed it; null if unknown, or from a build without it.
 * @property era era of the store that [revision] belongs to; 0 for a store, or a build, without eras.
 */
data class CopyVersion(
    val revision: Long,
    val digest: String = "",
    val ageMillis: Long? = null,
    val era: Long = 0,
    val certainAgeMillis: Long? = null,
) {
    /** Whether this copy is newer than [other]: by era, since revisions go back with each restore, then by revision. */
    fun newerThan(other: CopyVersion): Boolean = era > other.era || era == other.era && revision > other.revision

    /**
     * Whether this copy has other objects than [other] under the same revision. Copies without an era are not compared,
     * since their digests do not cover the contents of objects.
     */
    fun conflictsWith(other: CopyVersion): Boolean =
        era > 0 && era == other.era && revision == other.revision && revision > 0 &&
            digest.isNotEmpty() && other.digest.isNotEmpty() && digest != other.digest
}
