package fireflyhinge.lease

import fireflyhinge.peer.LeaseRequest

/** A lease request and the process that it is meant for. */
data class OutgoingLeaseRequest(val to: ProcessId, val request: LeaseRequest)
