package fireflyhinge.standin.engine

/** Faults of the engine stand-in that outlast a crash. */
class EngineFaults {
    /** Words whose appearance in a prompt crashes the engine when it starts to run the request. */
    @Volatile var poison: Set<String> = emptySet()

    /** Whether KV exports make no progress. */
    @Volatile var stallTransfers: Boolean = false

    /** Whether calls are refused with 503 before they run. */
    @Volatile var refuse: Boolean = false

    /** Whether decode streams also carry events of other attempts and repeat earlier tokens. */
    @Volatile var crossEvents: Boolean = false

    /** Models, adapters and versions whose loading fails. */
    @Volatile var failLoads: Set<String> = emptySet()

    /** Whether the load report says that the engine is leaving. */
    @Volatile var leaving: Boolean = false
}
