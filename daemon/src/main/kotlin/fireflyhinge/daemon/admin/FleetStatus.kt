package fireflyhinge.daemon.admin

import fireflyhinge.membership.Member

/** State of the fleet as one VM sees it. */
data class FleetStatus(
    val vm: String,
    val ready: Boolean,
    val isolated: Boolean,
    val digest: String,
    val objects: Map<String, Int>,
    val members: List<Member>,
)
