package fireflyhinge.schedule

/** The placement policies that a cell can run with; the last two are baselines for measurements. */
enum class CellPolicy {
    /** Reserves slots and links, and queues when none is free. */
    RESERVING,

    /** Places at once on the replicas in turn. */
    ROUND_ROBIN,

    /** Places at once on the replicas that report the least load. */
    LEAST_LOAD,
    ;

    internal fun create(settings: SchedulerSettings): PlacementPolicy =
        when (this) {
            RESERVING -> ReservingPolicy(settings)
            ROUND_ROBIN -> RoundRobinPolicy()
            LEAST_LOAD -> LeastLoadPolicy()
        }
}
