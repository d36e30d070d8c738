package fireflyhinge.forward

/** Part of a model request that a replica serves. */
enum class ReplicaStage {
    /** Reads prompts. */
    PREFILL,

    /** Writes answers; reads prompts as well, but slowly. */
    DECODE,

    /** Replica of a plain service. */
    PLAIN,
}
