package fireflyhinge.daemon.admin

/**
 * Limits of [ObjectWriter].
 *
 * @property attempts read-modify-write attempts while other operators change the object.
 * @property backoffMillis longest pause before the second attempt; it doubles with each further one.
 * @property resolveMillis time for finding out whether a write without a reply took effect.
 */
data class WriterSettings(val attempts: Int = 6, val backoffMillis: Long = 20, val resolveMillis: Long = 5_000)
