package fireflyhinge.forward

/** Stage of a model request that a replica serves. */
enum class ReplicaStage {
    /** Prefill: computes the KV cache of prompts. */
    PREFILL,

    /** Decode: generates output; can prefill as well, but slowly. */
    DECODE,

    /** Replica of a plain service. */
    PLAIN,
}
