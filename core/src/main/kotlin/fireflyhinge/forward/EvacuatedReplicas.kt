package fireflyhinge.forward

/**
 * Whether [service] has replicas at [stage] that stay and that [filter] allows, and all of them are in evacuated
 * failure domains.
 */
fun ReplicaTable.allEvacuated(
    service: String,
    stage: ReplicaStage,
    filter: ReplicaFilter = ReplicaFilter.ANY,
): Boolean {
    val staying =
        listed(service, stage).filter { filter.allows(it) && !it.leaving && !it.availability.replaced }
    return staying.isNotEmpty() && staying.all { it.evacuated }
}
