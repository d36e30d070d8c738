package fireflyhinge.config

/** Connects gossip to the configuration: gossip carries the digest and reports peers with a different one. */
interface ConfigDigestSource {
    /** Digest of the current configuration. */
    fun digest(): ConfigDigest

    /** Called when the digest of [peer] differs. Must not block. */
    fun onMismatch(peer: String)
}
