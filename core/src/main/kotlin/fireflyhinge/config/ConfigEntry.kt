package fireflyhinge.config

import fireflyhinge.result.ResultCode
import fireflyhinge.store.StoredObject

/**
 * One object of a copy. The newest version and the newest valid one are kept separately, so that the last valid version
 * stays in effect when the store has an invalid one.
 */
internal data class ConfigEntry(val latest: StoredObject, val valid: StoredObject?, val parsed: ConfigObject?) {
    val versions: ObjectVersion
        get() = ObjectVersion(latest.name.kind, latest.name.name, latest.version, valid?.version ?: 0)

    /** The stored objects from which another copy can build this entry. */
    val sources: List<StoredObject> get() = listOfNotNull(valid.takeIf { it != latest }, latest)

    /** Merges this entry with [incoming]; returns this entry itself if [incoming] has nothing newer. */
    fun join(incoming: ConfigEntry): ConfigEntry {
        val newestValid = if ((incoming.valid?.version ?: 0) > (valid?.version ?: 0)) incoming else this
        val newest = if (incoming.latest.version > latest.version) incoming else this
        return when {
            newest === this && newestValid === this -> this
            else -> ConfigEntry(newest.latest, newestValid.valid, newestValid.parsed)
        }
    }

    companion object {
        /** The entry for [stored] alone, and its validation errors. Shard maps and fences are not validated here. */
        fun of(stored: StoredObject): Pair<ConfigEntry, List<ConfigError>> {
            if (stored.name.kind !in ConfigKinds.CONFIGURATION) return ConfigEntry(stored, stored, null) to emptyList()
            val decoded = ObjectDecoder.decode(stored.name.kind, stored.value)
            val errors = decoded.errors + listOfNotNull(decoded.value?.let { nameMismatch(stored, it) })
            val valid = stored.takeIf { errors.isEmpty() }
            return ConfigEntry(stored, valid, decoded.value.takeIf { valid != null }) to errors
        }

        private fun nameMismatch(stored: StoredObject, value: ConfigObject): ConfigError? =
            ConfigError(ResultCode.OBJECT_INVALID, "name", "must be '${stored.name.name}'")
                .takeIf { value.name != stored.name.name }
    }
}

/** Whether the texts can be encoded as UTF-8 and sent to peers; an unpaired surrogate cannot. */
internal fun StoredObject.isUnicode(): Boolean =
    listOf(name.name, value).all { Charsets.UTF_8.newEncoder().canEncode(it) }

/** Whether [stored] may raise a version of this entry; otherwise it need not be decoded. */
internal fun ConfigEntry?.mayUpdate(stored: StoredObject): Boolean =
    this == null || stored.version > latest.version || stored.version > (valid?.version ?: 0)
