package fireflyhinge.gateway

import fireflyhinge.forward.AddressQuery

/** Encodes the interface through which callers look up addresses of VMs and the platform checks readiness. */
interface DiscoveryProtocol {
    /** Path of the readiness check. */
    val readyPath: String

    /** Path of the address lookup. */
    val lookupPath: String

    /** What the request target [uri] of a lookup tells of the caller. */
    fun query(uri: String): AddressQuery

    /** Body of the response to a lookup. */
    fun addresses(fronts: List<String>, ttlSeconds: Int): ByteArray
}
