package fireflyhinge.store

/**
 * One entry of the platform's VM list. The list lags behind: a new VM may be missing and a removed one may still be
 * listed.
 *
 * @property callerAddress `host:port` of the caller API.
 * @property controlAddress `host:port` of the control API.
 */
data class VmEntry(
    val id: String,
    val region: String,
    val failureDomain: String,
    val callerAddress: String,
    val controlAddress: String,
    val leaving: Boolean = false,
)
