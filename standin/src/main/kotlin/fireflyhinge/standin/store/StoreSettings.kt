package fireflyhinge.standin.store

/**
 * Settings of the store stand-in.
 *
 * @property maxValueBytes largest value accepted, in UTF-8 bytes.
 * @property callsPerSecond calls answered per second, a watch counting once; 0 means no limit.
 * @property vmLagMillis time until a change of the VM list shows.
 */
data class StoreSettings(
    val maxValueBytes: Int = 1_000_000,
    val callsPerSecond: Int = 2_500,
    val vmLagMillis: Long = 2_000,
)
