package fireflyhinge.daemon.order

import fireflyhinge.order.ReplicaOrderStatus

/** Progress of the replicas in one daemon's cells. */
data class OrderStatusAnswer(val replicas: List<ReplicaOrderStatus>)
