package fireflyhinge.quota

/** Replica crashes that one fingerprint took part in, at most as many as bar it. */
internal data class CrashRecord(val crashes: Set<String>, val lastAt: Long, val barredUntil: Long? = null)
