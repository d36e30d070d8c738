package fireflyhinge.forward

/** Compares the pools of a service with what its requests need. */
class PoolSizes(private val table: ReplicaTable, private val plan: PoolPlan, private val mixes: RequestMixes) {
    /** Orders that bring the pools of [service] to the sizes wanted; none while too few requests were seen. */
    fun wanted(service: ForwardService): List<StageOrder> {
        val needs = mixes.averages(service.name) ?: return emptyList()
        return plan.orders(table.listed(service.name), needs, service.memoryTokens)
    }
}
