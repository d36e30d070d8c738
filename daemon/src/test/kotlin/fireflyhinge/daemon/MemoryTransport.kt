package fireflyhinge.daemon

import fireflyhinge.Json
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import java.util.concurrent.ConcurrentHashMap

/** Delivers messages between daemons in one process; they pass through JSON as on the wire. */
class MemoryTransport : PeerTransport {
    private val endpoints = ConcurrentHashMap<String, Map<String, PeerEndpoint<*>>>()

    /** VMs that refuse connections although they serve endpoints. */
    val unreachable: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** Called with the VM and the path of each handled message; returning true loses the reply. */
    @Volatile
    var losesReply: (vm: String, path: String) -> Boolean = { _, _ -> false }

    /** Serves [served] as [vm] until [stop]. */
    fun serve(vm: String, served: List<PeerEndpoint<*>>) {
        endpoints[vm] = served.associateBy { it.path }
    }

    /** Refuses connections to [vm] from now on, as a host without the process does. */
    fun stop(vm: String) {
        endpoints.remove(vm)
    }

    override fun <T : Any> post(
        vm: String,
        path: String,
        message: Any,
        reply: Class<T>,
        timeoutMillis: Long,
    ): PeerResult<T> {
        val id = vm.substringBefore(':')
        val endpoint = endpoints[id]?.get(path)
        if (endpoint == null || id in unreachable) return PeerResult.ConnectionRefused
        val answer = Json.encode(answer(endpoint, Json.encode(message)))
        if (losesReply(id, path)) return PeerResult.Failed("reply lost")
        return PeerResult.Ok(Json.mapper.readValue(answer, reply))
    }

    private fun <M : Any> answer(endpoint: PeerEndpoint<M>, message: String): Any =
        endpoint.handle(Json.mapper.readValue(message, endpoint.type))
}
