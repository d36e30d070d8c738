package fireflyhinge.forward

/** Last revisions of objects that were removed from the store; a restore may bring them back. */
internal class RemovedRevisions {
    /** Revisions by name, oldest removal first. */
    private val revisions = LinkedHashMap<String, Long>()

    /** Last revision of the removed object [name], or null. */
    operator fun get(name: String): Long? = revisions[name]

    /** Records that object [name], last seen with [revision], was removed. */
    fun add(name: String, revision: Long) {
        revisions.remove(name)
        revisions[name] = revision
        if (revisions.size > MAX_REMOVED) revisions.remove(revisions.keys.first())
    }

    /** Forgets the objects whose names [match], since they exist again. */
    fun removeAll(match: (String) -> Boolean) {
        revisions.keys.removeAll(match)
    }

    private companion object {
        /** Far more than the objects removed within the age of a backup, which is some seconds. */
        const val MAX_REMOVED = 1_000
    }
}
