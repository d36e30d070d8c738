package fireflyhinge.soak

/**
 * A request of a caller; [at] is in milliseconds of the soak's clock, [idle] is how long its connection had
 * been without a request, or null if it is new. A replica that begins to answer a [deadly] one crashes.
 */
internal class Sent(
    val id: String,
    val kind: CallKind,
    val key: String,
    val gateway: Int,
    val at: Long,
    val idle: Long? = null,
    val deadly: Boolean = false,
)
