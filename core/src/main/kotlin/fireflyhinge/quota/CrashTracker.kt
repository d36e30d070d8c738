package fireflyhinge.quota

import fireflyhinge.peer.CrashReport
import java.time.Duration

/** Counts the replica crashes in which each fingerprint took part, in bounded memory. Not thread-safe. */
class CrashTracker(private val capacity: Int = CAPACITY) {
    private val records = LinkedHashMap<String, CrashRecord>()

    /** Number of tracked fingerprints. */
    val size: Int get() = records.size

    /** Counts a crash once per fingerprint, even if several daemons report it. */
    fun report(report: CrashReport, now: Long) {
        expire(now)
        val crash = "${report.replica}/${report.replicaIncarnation}"
        report.fingerprints.forEach { increment(it, crash, now) }
    }

    private fun increment(fingerprint: String, crash: String, now: Long) {
        val held = records[fingerprint]
        if (held != null && crash in held.crashes) return
        records -= fingerprint
        records[fingerprint] = CrashRecord(crashes = held?.crashes.orEmpty() + crash, lastAt = now)
        if (records.size > capacity) records.remove(records.keys.first())
    }

    /** Number of crashes in which the fingerprint took part; 0 once the last one is 10 minutes old. */
    fun crashes(fingerprint: String, now: Long): Int = live(fingerprint, now)?.crashes?.size ?: 0

    /** Nanoseconds for which the fingerprint stays barred, or null if it is not barred. */
    fun barredFor(fingerprint: String, now: Long): Long? =
        live(fingerprint, now)
            ?.takeIf { CrashLevel.of(it.crashes.size) == CrashLevel.BARRED }
            ?.let { it.lastAt + RETENTION_NANOS - now }

    private fun live(fingerprint: String, now: Long) =
        records[fingerprint]?.takeIf { now - it.lastAt < RETENTION_NANOS }

    /** Removes expired records, which come first in the order of the last crash. */
    private fun expire(now: Long) {
        val eldest = records.values.iterator()
        while (eldest.hasNext() && now - eldest.next().lastAt >= RETENTION_NANOS) eldest.remove()
    }

    private companion object {
        const val CAPACITY = 512
        val RETENTION_NANOS = Duration.ofMinutes(10).toNanos()
    }
}
