package fireflyhinge.standin.engine

/** Result of fetching a KV cache from its prefill replica. */
internal sealed interface KvFetch {
    data class Fetched(val content: KvContent) : KvFetch

    data object Expired : KvFetch

    data class Failed(val reason: String) : KvFetch
}
