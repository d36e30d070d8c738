package fireflyhinge.gateway

/** The interface through which callers find a VM and the platform asks whether this one takes requests. */
interface DiscoveryProtocol {
    /** Path of the readiness check. */
    val readyPath: String

    /** Path of the address look-up. */
    val lookupPath: String

    /** Failure domain that a look-up with request target [uri] names, or null. */
    fun failureDomain(uri: String): String?

    /** Body of a look-up's answer. */
    fun addresses(fronts: List<String>, ttlSeconds: Int): ByteArray
}
