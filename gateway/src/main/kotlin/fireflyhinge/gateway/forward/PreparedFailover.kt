package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/** A place at a decode replica with the cache to fetch; without one the replica reads the prompt itself. */
internal class PreparedFailover(val place: DecodeTarget, val cache: KvCacheLocation?)
