package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyFreshness
import fireflyhinge.forward.CopyVersion
import fireflyhinge.gateway.http.monotonicMillis

/** What a comparison of a copy with that of another VM calls for. */
internal enum class CopyAction {
    /** Nothing. */
    NONE,

    /** The other copy should be fetched. */
    FETCH,

    /** The store should be asked for a new listing, since the copies have other objects under one version. */
    LIST,
}

/** Compares this VM's copy of the store's objects with those of other VMs. */
internal class CopyComparison(private val freshness: CopyFreshness) {
    /** If newer than this copy: a version of another VM's copy that this copy has yet to reach. */
    private var newer = CopyVersion(0)
    private var newerSince = 0L
    private var conflictAt: Long? = null

    /** Whether a copy of the same version may replace this one. */
    private var adoptsEqual = false

    /**
     * Compares [own] with [theirs], the version of another VM at most [callMillis] ago. If they are equal, a
     * confirmation of the other one holds for this one. [cutOff] says that the store does not serve this VM.
     */
    fun compare(own: CopyVersion, theirs: CopyVersion, callMillis: Long, cutOff: Boolean): CopyAction {
        if (own.digest.isNotEmpty() && theirs.digest == own.digest && theirs.era == own.era) {
            theirs.ageMillis?.let { freshness.confirm(it + callMillis, theirs.certainAgeMillis?.plus(callMillis)) }
            return CopyAction.NONE
        }
        if (theirs.conflictsWith(own)) return resolveConflict(own, theirs.ageMillis?.plus(callMillis), cutOff)
        if (!theirs.newerThan(own)) return CopyAction.NONE
        if (!newer.newerThan(own)) {
            newer = theirs
            newerSince = monotonicMillis()
        }
        val missed = monotonicMillis() - newerSince > WATCH_LAG_MILLIS
        return if (cutOff || own.revision == 0L || missed) CopyAction.FETCH else CopyAction.NONE
    }

    /** A VM that the store does not serve takes the copy that was confirmed later. */
    private fun resolveConflict(own: CopyVersion, theirAgeMillis: Long?, cutOff: Boolean): CopyAction {
        if (cutOff) {
            adoptsEqual = theirAgeMillis != null && theirAgeMillis < (own.ageMillis ?: Long.MAX_VALUE)
            return if (adoptsEqual) CopyAction.FETCH else CopyAction.NONE
        }
        val now = monotonicMillis()
        if (conflictAt.let { it != null && now - it <= CONFLICT_PAUSE_MILLIS }) return CopyAction.NONE
        conflictAt = now
        return CopyAction.LIST
    }

    /** Whether a fetched copy of version [theirs] replaces [own]. */
    fun adopts(own: CopyVersion, theirs: CopyVersion): Boolean {
        val equal = adoptsEqual && theirs.era == own.era && theirs.revision == own.revision
        adoptsEqual = false
        return equal || theirs.newerThan(own)
    }

    private companion object {
        /** Store watches deliver within milliseconds, gossip takes about a second. */
        const val WATCH_LAG_MILLIS = 1_000L

        /** Copies of two VMs that stay different cause one listing in this time. */
        const val CONFLICT_PAUSE_MILLIS = 5_000L
    }
}
