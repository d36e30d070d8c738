package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.longIn
import fireflyhinge.textOrNull

/** JSON codec of the versions of a VM's copies of the store's objects. */
internal object CopyVersionCodec {
    private val REVISIONS = 0..Long.MAX_VALUE

    /** Older confirmations do not matter. */
    private const val MAX_AGE_MILLIS = 3_600_000L

    fun encode(copies: Map<StoreObjectKind, CopyVersion>, root: ObjectNode) {
        val revisions = root.putObject("revisions")
        copies.forEach { (kind, copy) -> revisions.put(kind.name, copy.revision) }
        val inEras = copies.filterValues { it.era > 0 }
        if (inEras.isNotEmpty()) {
            val eras = root.putObject("eras")
            inEras.forEach { (kind, copy) -> eras.put(kind.name, copy.era) }
        }
        val confirmed = copies.filterValues { it.digest.isNotEmpty() && it.ageMillis != null }
        if (confirmed.isEmpty()) return
        val list = root.putObject("confirmed")
        confirmed.forEach { (kind, copy) ->
            val node = list.putObject(kind.name).put("digest", copy.digest).put("age_ms", copy.ageMillis)
            copy.certainAgeMillis?.let { node.put("certain_age_ms", it) }
        }
    }

    fun decode(root: JsonNode): Map<StoreObjectKind, CopyVersion> =
        StoreObjectKind.entries.associateWith { kind ->
            val confirmed = root.path("confirmed").path(kind.name)
            CopyVersion(
                revision = root.path("revisions").path(kind.name).longIn(REVISIONS) ?: 0,
                digest = confirmed.path("digest").textOrNull().orEmpty(),
                ageMillis = confirmed.path("age_ms").longIn(0..MAX_AGE_MILLIS),
                certainAgeMillis = confirmed.path("certain_age_ms").longIn(0..MAX_AGE_MILLIS),
                // A build without eras does not send them.
                era = root.path("eras").path(kind.name).longIn(REVISIONS) ?: 0,
            )
        }
}
