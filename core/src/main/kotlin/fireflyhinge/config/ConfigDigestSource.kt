package fireflyhinge.config

/** Link from gossip to the configuration: gossip carries the digest and reports peers whose digest differs. */
interface ConfigDigestSource {
    /** Digest of the configuration held now. */
    fun digest(): ConfigDigest

    /** The digest of [peer] differs. Must not block. */
    fun onDifference(peer: String)
}
