package fireflyhinge.gateway

/** Encodes the interface through which callers look up addresses of VMs and the platform checks readiness. */
interface DiscoveryProtocol {
    /** Path of the readiness check. */
    val readyPath: String

    /** Path of the address lookup. */
    val lookupPath: String

    /** Failure domain named in the request target [uri] of a lookup, or null. */
    fun failureDomain(uri: String): String?

    /** Body of the response to a lookup. */
    fun addresses(fronts: List<String>, ttlSeconds: Int): ByteArray
}
