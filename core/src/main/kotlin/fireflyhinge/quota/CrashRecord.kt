package fireflyhinge.quota

/** Replica crashes in which one fingerprint took part, and the time of the last one in monotonic nanoseconds. */
internal data class CrashRecord(val crashes: Set<String>, val lastAt: Long)
