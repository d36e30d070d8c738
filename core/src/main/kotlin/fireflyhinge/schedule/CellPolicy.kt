package fireflyhinge.schedule

/** Placement policies of a cell. [ROUND_ROBIN] and [LEAST_LOAD] are baselines for measurements. */
enum class CellPolicy {
    /** Reserves slots and links, and queues requests while none is free. */
    RESERVING,

    /** Places each request at once, cycling through the replicas. */
    ROUND_ROBIN,

    /** Places each request at once on the replicas that report the least load. */
    LEAST_LOAD,
    ;

    internal fun create(settings: SchedulerSettings): PlacementPolicy =
        when (this) {
            RESERVING -> ReservingPolicy(settings)
            ROUND_ROBIN -> RoundRobinPolicy()
            LEAST_LOAD -> LeastLoadPolicy()
        }
}
