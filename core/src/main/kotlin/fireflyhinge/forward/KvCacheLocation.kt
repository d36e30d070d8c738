package fireflyhinge.forward

/** A prompt's KV cache that a prefill replica at [address] holds under [handle] for a moment. */
data class KvCacheLocation(val address: String, val handle: String)
