package fireflyhinge.quota

import fireflyhinge.peer.CrashReport
import java.time.Duration

/** Which fingerprints are suspected of crashing replicas, in bounded memory. Not thread-safe. */
class CrashBook(private val capacity: Int = CAPACITY) {
    private val records = LinkedHashMap<String, CrashRecord>()

    /** Number of fingerprints held. */
    val size: Int get() = records.size

    /** Counts a crash once for each fingerprint, also when several daemons report it. */
    fun report(report: CrashReport, now: Long) {
        expire(now)
        val crash = "${report.replica}/${report.replicaIncarnation}"
        val suspects = report.fingerprints.filter { isSuspect(it, now) }
        val alone = suspects.singleOrNull().takeIf { report.onlySuspect }
        report.fingerprints.forEach { count(it, crash, alone = it == alone, now = now) }
    }

    private fun count(fingerprint: String, crash: String, alone: Boolean, now: Long) {
        val held = records.remove(fingerprint) ?: CrashRecord(crashes = emptySet(), lastAt = now)
        val isNew = crash !in held.crashes
        val crashes = held.crashes + crash
        val barred = isNew && (crashes.size >= CRASHES_TO_BAR || (crashes.size > 1 && alone))
        val until = if (barred) now + BAR_NANOS else held.barredUntil
        records[fingerprint] =
            CrashRecord(crashes = crashes, lastAt = if (isNew) now else held.lastAt, barredUntil = until)
        if (records.size > capacity) records.remove(records.keys.first())
    }

    /** Whether the fingerprint must run as the only suspect on its replicas. */
    fun isSuspect(fingerprint: String, now: Long): Boolean =
        records[fingerprint]?.let { now - it.lastAt < BAR_NANOS } ?: false

    /** Nanoseconds for which the fingerprint stays barred, or null if it is not. */
    fun barredFor(fingerprint: String, now: Long): Long? =
        records[fingerprint]?.barredUntil?.let { it - now }?.takeIf { it > 0 }

    /** Records are ordered by their last report, so the expired ones come first. */
    private fun expire(now: Long) {
        val eldest = records.values.iterator()
        while (eldest.hasNext() && now - eldest.next().lastAt >= BAR_NANOS) eldest.remove()
    }

    private companion object {
        const val CAPACITY = 512
        const val CRASHES_TO_BAR = 3
        val BAR_NANOS = Duration.ofMinutes(10).toNanos()
    }
}
