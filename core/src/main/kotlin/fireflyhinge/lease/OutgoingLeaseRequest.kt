package fireflyhinge.lease

import fireflyhinge.peer.LeaseRequest

/** A lease request and its recipient. */
data class OutgoingLeaseRequest(val to: ProcessId, val request: LeaseRequest)
