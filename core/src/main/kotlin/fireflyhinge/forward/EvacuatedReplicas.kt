package fireflyhinge.forward

/** Whether [service] has replicas at [stage] that stay and all of them are in evacuated failure domains. */
fun ReplicaTable.allEvacuated(service: String, stage: ReplicaStage): Boolean {
    val staying = listed(service, stage).filterNot { it.leaving || it.availability.replaced }
    return staying.isNotEmpty() && staying.all { it.evacuated }
}
