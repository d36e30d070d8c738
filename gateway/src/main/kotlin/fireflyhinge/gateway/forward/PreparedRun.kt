package fireflyhinge.gateway.forward

import fireflyhinge.forward.KvCacheLocation

/** A decode target and the KV cache to fetch. If [cache] is null, the decode replica prefills the prompt itself. */
internal class PreparedRun(val target: DecodeTarget, val cache: KvCacheLocation?) {
    /** Whether the request was sent there. */
    var sent = false

    /** The run there, once the replica has taken the request. */
    var session: DecodeSession? = null
}
