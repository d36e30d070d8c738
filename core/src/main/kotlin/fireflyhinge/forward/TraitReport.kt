package fireflyhinge.forward

/**
 * What a VM knows of [trait].
 *
 * @property soundAgeMillis time since the newest response to a request with it began and went on, or null.
 */
data class TraitReport(val trait: Trait, val sightings: List<CrashSighting>, val soundAgeMillis: Long? = null)
