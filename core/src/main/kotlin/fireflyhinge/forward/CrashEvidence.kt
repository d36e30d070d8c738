package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Evidence on traits of requests that may be why replicas crash, from this VM and from others, in bounded memory.
 * Evidence merges in any order, so VMs that know the same name the same traits. Thread-safe.
 */
class CrashEvidence(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private val table = TraitTable(CAPACITY, RETENTION_MILLIS)

    private val responses = SoundResponses()

    /** Time of the newest sound response to requests with each part, suspected or not. */
    private val soundParts = LruMap<Trait, Long>(MAX_SOUND_PARTS)
    private var cached = CrashVerdicts.NONE
    private var cachedUntil = Long.MAX_VALUE

    /** Called after a change that other VMs should know. */
    var onNews: () -> Unit = {}

    /** Number of changes so far. */
    val version: Long @Synchronized get() = table.version

    /** Number of traits with evidence. */
    val size: Int @Synchronized get() = table.size

    /** Records that the replica process [crash] crashed while [requests] had not begun to respond. */
    fun recordCrash(crash: String, requests: List<RequestTraits>) =
        change { now ->
            val id = crash.take(MAX_CRASH_CHARS)
            requests.count { request ->
                val seen = mapOf(id to TraitEvidence.Seen(now, request.whole.id, requests.size))
                request.all.count { table.update(it, seen, sound = null, now) } > 0
            }
        }

    /** Records that a response to a request with [traits] began at [beganMillis], a monotonic time, and went on. */
    fun recordSound(traits: RequestTraits, beganMillis: Long) =
        change { now ->
            responses.record(traits.scope, beganMillis)
            refreshSoon(now)
            traits.parts.forEach { soundParts[it] = maxOf(beganMillis, soundParts[it] ?: Long.MIN_VALUE) }
            val repeated = table.all.any { it.evidence.trait.kind == Trait.Kind.REQUEST }
            val suspected = if (repeated) traits.all else traits.parts
            suspected.filter { table[it] != null }.count { table.update(it, emptyMap(), beganMillis, now) }
        }

    /** Merges what another VM knows. */
    fun merge(report: EvidenceReport) =
        change { now ->
            report.soundAgesMillis.forEach { (scope, ages) ->
                val news = responses.add(scope, ages.mapValues { now - it.value })
                if (news) refreshSoon(now)
            }
            report.traits.count { told ->
                val seen =
                    told.sightings.associate {
                        it.crash to TraitEvidence.Seen(now - it.ageMillis, it.request, it.requests)
                    }
                val sound = listOfNotNull(soundParts[told.trait], told.soundAgeMillis?.let { now - it }).maxOrNull()
                table.update(told.trait, seen, sound, now)
            }
        }

    /** Runs [update], which returns the number of changes. */
    private fun change(update: (Long) -> Int) {
        val changes = synchronized(this) { update(clock.millis()).also { if (it > 0) cachedUntil = Long.MIN_VALUE } }
        if (changes > 0) onNews()
    }

    /** Lets verdicts follow sound responses of other requests, without being derived anew for each. */
    private fun refreshSoon(now: Long) {
        if (table.size > 0) cachedUntil = minOf(cachedUntil, now + REFRESH_MILLIS)
    }

    /** The current verdicts. */
    @Synchronized
    fun verdicts(): CrashVerdicts {
        val now = clock.millis()
        if (now < cachedUntil) return cached
        cached = CrashVerdicts.of(table.all.map { it.evidence }, Context(), now)
        cachedUntil = cached.nextChangeMillis?.let { now + it } ?: Long.MAX_VALUE
        return cached
    }

    /** What changed after [version], the most suspected traits first; at most [MAX_REPORTED]. */
    @Synchronized
    fun changesSince(version: Long): EvidenceReport = report(table.all.filter { it.version > version })

    /** What changed recently or is named, the most suspected traits first; at most [MAX_REPORTED]. */
    @Synchronized
    fun recent(): EvidenceReport {
        if (table.size == 0) return EvidenceReport()
        val named = verdicts().combinations.flatten().toSet()
        val from = clock.millis() - RECENT_MILLIS
        return report(table.all.filter { it.changedAt >= from || it.evidence.trait in named })
    }

    /** The evidence on [traits]. */
    @Synchronized
    fun on(traits: Set<Trait>): EvidenceReport = report(traits.mapNotNull { table[it] })

    private fun report(chosen: List<TraitTable.Entry>): EvidenceReport {
        val now = clock.millis()
        val traits =
            chosen
                .sortedWith(compareBy({ -it.evidence.open.size }, { -it.version }))
                .take(MAX_REPORTED)
                .map { it.evidence.toReport(now) }
        val scopes = traits.mapTo(HashSet()) { it.trait.scope }
        return EvidenceReport(traits, scopes.associateWith { responses.ages(it, now) }.filterValues { it.isNotEmpty() })
    }

    private inner class Context : CrashContext {
        private val requests by lazy(LazyThreadSafetyMode.NONE) {
            val wholes = table.all.map { it.evidence }.filter { it.trait.kind == Trait.Kind.REQUEST }
            wholes.flatMap { it.sightings.keys }.groupingBy { it }.eachCount()
        }

        override fun requestsAt(crash: String): Int = requests[crash] ?: 0

        override fun soundAfter(scope: String, time: Long): Int = responses.countAfter(scope, time)
    }

    /** Bounds of what is kept and told. */
    companion object {
        /** Traits with evidence. */
        const val CAPACITY = 1_000

        /** Traits in one report. */
        const val MAX_REPORTED = 48

        /** Time for which a crash is kept; after a verdict has ended, one more crash renews it until then. */
        const val RETENTION_MILLIS = 1_800_000L

        /** Characters of the id of a crash. */
        const val MAX_CRASH_CHARS = 128
        private const val MAX_SOUND_PARTS = 2_000
        private const val REFRESH_MILLIS = 50L

        /** Several exchanges of the largest fleet. */
        private const val RECENT_MILLIS = 10_000L
    }
}
