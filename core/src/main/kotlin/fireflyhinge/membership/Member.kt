package fireflyhinge.membership

/**
 * The gossip entry of one VM.
 *
 * @property incarnation start time of its process in milliseconds since 1970; a restart raises it.
 * @property heartbeat counter that the VM itself raises. Within an incarnation a higher value marks a newer entry.
 * @property openRequests number of caller requests in flight, used for address selection.
 * @property configDigest digest of the configuration that the VM holds.
 * @property uptimeMillis minimum uptime of its process, as counted by the sender of the message with this entry.
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
