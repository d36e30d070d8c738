package fireflyhinge.forward

/** Location of a prompt's KV cache, which a prefill replica at [address] retains briefly under [handle]. */
data class KvCacheLocation(val address: String, val handle: String)
