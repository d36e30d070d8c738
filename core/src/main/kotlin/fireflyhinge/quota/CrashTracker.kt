package fireflyhinge.quota

import fireflyhinge.peer.CrashReport
import java.time.Duration

/** How many replica crashes each fingerprint took part in, in bounded memory. Not thread-safe. */
class CrashTracker(private val capacity: Int = CAPACITY) {
    private val records = LinkedHashMap<String, CrashRecord>()

    /** Number of fingerprints held. */
    val size: Int get() = records.size

    /** Counts a crash once for each fingerprint, also when several daemons report it. */
    fun report(report: CrashReport, now: Long) {
        expire(now)
        val crash = "${report.replica}/${report.replicaIncarnation}"
        report.fingerprints.forEach { count(it, crash, now) }
    }

    private fun count(fingerprint: String, crash: String, now: Long) {
        val held = records[fingerprint]
        if (held != null && crash in held.crashes) return
        records -= fingerprint
        records[fingerprint] = CrashRecord(crashes = held?.crashes.orEmpty() + crash, lastAt = now)
        if (records.size > capacity) records.remove(records.keys.first())
    }

    /** Crashes that the fingerprint took part in; 0 when the last one is 10 minutes old. */
    fun crashes(fingerprint: String, now: Long): Int = live(fingerprint, now)?.crashes?.size ?: 0

    /** Nanoseconds for which the fingerprint stays barred, or null if it is not. */
    fun barredFor(fingerprint: String, now: Long): Long? =
        live(fingerprint, now)
            ?.takeIf { CrashLevel.of(it.crashes.size) == CrashLevel.BARRED }
            ?.let { it.lastAt + LIFE_NANOS - now }

    private fun live(fingerprint: String, now: Long) = records[fingerprint]?.takeIf { now - it.lastAt < LIFE_NANOS }

    /** Records are ordered by their last crash, so the expired ones come first. */
    private fun expire(now: Long) {
        val eldest = records.values.iterator()
        while (eldest.hasNext() && now - eldest.next().lastAt >= LIFE_NANOS) eldest.remove()
    }

    private companion object {
        const val CAPACITY = 512
        val LIFE_NANOS = Duration.ofMinutes(10).toNanos()
    }
}
