package fireflyhinge.membership

/**
 * One VM as gossip describes it.
 *
 * @property incarnation start time of its process in milliseconds since 1970; a restart raises it.
 * @property heartbeat counter that the VM itself raises; the higher one is the newer description.
 * @property openRequests caller requests in flight, for address selection.
 * @property configDigest digest of the configuration that it holds.
 * @property uptimeMillis how long its process has run at least, counted by the sender of a message with this entry.
 */
data class Member(
    val id: String,
    val region: String,
    val failureDomain: String,
    val callerAddress: String,
    val controlAddress: String,
    val incarnation: Long,
    val heartbeat: Long,
    val state: MemberState = MemberState.LIVE,
    val isolated: Boolean = false,
    val openRequests: Int = 0,
    val configDigest: String = "",
    val uptimeMillis: Long = 0,
)
