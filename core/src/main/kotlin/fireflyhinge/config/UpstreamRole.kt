package fireflyhinge.config

/** Role of an upstream replica. */
enum class UpstreamRole { PREFILL, DECODE, SERVICE }
