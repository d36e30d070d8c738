package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Until when a replica is cold, as far as this VM knows. A shorter statement does not end a longer one, since responses
 * may arrive late. Thread-safe.
 *
 * @param startAgeMillis age of the replica's process when this VM learned of it, or null if unknown.
 */
class ReplicaWarmth(private val clock: MonotonicClock, startAgeMillis: Long? = null) {
    private val startedAt = startAgeMillis?.let { clock.millis() - it }
    private var statedUntil = Long.MIN_VALUE
    private var markedAt: Long? = null

    /** Records that the replica is said to be cold for [millis]. Returns whether it was not said to be cold before. */
    @Synchronized
    fun recordCold(millis: Long): Boolean {
        val now = clock.millis()
        val news = statedUntil <= now && millis > 0
        statedUntil = maxOf(statedUntil, now + millis.coerceIn(0, MAX_COLD_MILLIS))
        return news
    }

    /** Records that the replica may have become cold now, for as long as one that starts. */
    @Synchronized
    fun markCold() {
        markedAt = clock.millis()
    }

    /**
     * Milliseconds for which the replica stays cold, or 0. [coldStartMillis] is for how long a replica is cold that
     * starts; that counts from its start only if [byStart].
     */
    @Synchronized
    fun coldMillis(coldStartMillis: Long, byStart: Boolean): Long {
        val starts = listOfNotNull(markedAt, startedAt?.takeIf { byStart })
        val until = maxOf(statedUntil, starts.maxOfOrNull { it + coldStartMillis } ?: Long.MIN_VALUE)
        return if (until <= clock.millis()) 0 else until - clock.millis()
    }

    /** Age of the replica's process, or null if unknown. */
    val ageMillis: Long? get() = startedAt?.let { clock.millis() - it }

    private companion object {
        /** A replica that states an absurd time is taken for a warm one after this one. */
        const val MAX_COLD_MILLIS = 600_000L
    }
}

/**
 * Marks all listed replicas in [failureDomain] as cold from now on for as long as replicas that start, as after an
 * evacuation of the failure domain. Returns their number.
 */
fun ReplicaTable.markCold(failureDomain: String): Int =
    all.filter { it.replica.failureDomain == failureDomain }.onEach { it.warmth.markCold() }.size
