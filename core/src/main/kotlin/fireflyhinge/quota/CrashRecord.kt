package fireflyhinge.quota

/** Replica crashes that one fingerprint took part in, and the time of the last one. */
internal data class CrashRecord(val crashes: Set<String>, val lastAt: Long)
