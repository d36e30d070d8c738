package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Software versions of the decode replicas of each service, present and recent. What two versions generate does not fit
 * together, so a stream may continue only at the version that began it. Thread-safe.
 *
 * A VM begins streams at a version only from [SETTLE_MILLIS] after it was listed, if there is another one. So a VM
 * whose list was confirmed within that time knows all versions that may have begun a stream.
 *
 * @param firstStart whether this VM knows all recent versions from the start, as in the first start of the system.
 * @param listAgeMillis time since the list of replicas was known to lack no change; null if it never was.
 */
class ServiceVersions(
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val firstStart: Boolean = false,
    private val listAgeMillis: () -> Long?,
) {
    private class Presence(val since: Long, var until: Long?) {
        /** Whether a replica that does not leave is listed. */
        var accepting = false
    }

    private val services = HashMap<String, HashMap<String, Presence>>()
    private var listedSince: Long? = null

    /** Services of which a complete record was taken up. */
    private val recordedServices = HashSet<String>()

    /** Takes up the list of [replicas]. Returns whether versions have come or gone. */
    @Synchronized
    fun listed(replicas: Collection<Replica>): Boolean {
        val now = clock.millis()
        // Versions in the first list may have served for long.
        val since = if (listedSince == null) now - SETTLE_MILLIS else now
        if (listedSince == null) listedSince = now
        val present = replicas.filter { it.stage == ReplicaStage.DECODE }.groupBy { it.service }
        return (services.keys + present.keys).map { service ->
            val known = services.getOrPut(service) { HashMap() }
            val listed = present[service].orEmpty()
            known.values.removeAll { presence -> presence.until?.let { now - it > MEMORY_MILLIS } == true }
            val changed = update(known, listed.map { it.version }.toSet(), since, now)
            known.forEach { (version, presence) ->
                presence.accepting = listed.any { it.version == version && !it.leaving }
            }
            changed
        }.any { it }
    }

    private fun update(known: HashMap<String, Presence>, listed: Set<String>, since: Long, now: Long): Boolean {
        val come = listed.filterNot { version -> known[version].let { it != null && it.until == null } }
        val gone = known.filter { (version, presence) -> presence.until == null && version !in listed }
        come.forEach { known[it] = Presence(since, until = null) }
        gone.values.forEach { it.until = now }
        return come.isNotEmpty() || gone.isNotEmpty()
    }

    /**
     * Takes up what was recorded before this VM started: for each service, how long ago each version went; null for one
     * that has not, which went just now if it is not listed. The records of the [complete] services lack no version.
     */
    @Synchronized
    fun recorded(history: Map<String, Map<String, Long?>>, complete: Set<String> = history.keys) {
        val now = clock.millis()
        for ((service, versions) in history) {
            val known = services.getOrPut(service) { HashMap() }
            for ((version, goneMillis) in versions) {
                known.getOrPut(version) { Presence(since = 0, until = now - (goneMillis ?: 0)) }
            }
        }
        recordedServices += complete
    }

    /** Whether this VM knows all recent versions of [service] in a list that lacks no change. */
    @Synchronized
    fun knowsAll(service: String): Boolean {
        val watchedMillis = listedSince?.let { clock.millis() - it } ?: 0
        return firstStart || service in recordedServices || watchedMillis >= MEMORY_MILLIS
    }

    /** For each service, how long ago each recent version went; null for one that is listed. */
    @Synchronized
    fun history(): Map<String, Map<String, Long?>> =
        services.mapValues { (_, known) ->
            known.mapValues { (_, presence) -> presence.until?.let { clock.millis() - it } }
        }

    /** The only version of [service] that may have begun a stream that a caller continues; null if that is unknown. */
    @Synchronized
    fun only(service: String): String? {
        val now = clock.millis()
        val confirmed = listedSince != null && listAgeMillis().let { it != null && it < SETTLE_MILLIS }
        if (!confirmed || !knowsAll(service)) return null
        return services[service].orEmpty()
            .filterValues { presence -> presence.until.let { it == null || now - it < MEMORY_MILLIS } }
            .keys.singleOrNull()
    }

    /** Whether streams of [service] may begin at [version]: all VMs know of it, or no other one accepts requests. */
    @Synchronized
    fun mayBegin(service: String, version: String): Boolean {
        val settled = { presence: Presence -> clock.millis() - presence.since >= SETTLE_MILLIS }
        val accepting = services[service].orEmpty().filterValues { it.accepting }
        return accepting[version]?.let(settled) == true || accepting.values.none(settled)
    }

    companion object {
        /** More than the age of a list that the store confirms ([CopyFreshness.MAX_AGE_MILLIS]) and a call. */
        const val SETTLE_MILLIS = 3_000L

        /** Longer than a caller continues a stream, all of its attempts together. */
        const val MEMORY_MILLIS = 60_000L
    }
}
