package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/** A decode target and the KV cache to fetch. If [cache] is null, the decode replica prefills the prompt itself. */
internal class PreparedFailover(val target: DecodeTarget, val cache: KvCacheLocation?)
