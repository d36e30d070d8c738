package fireflyhinge.forward

/** [replica] is to serve [stage] from now on. */
data class StageOrder(val replica: Replica, val stage: ReplicaStage)
