package fireflyhinge.daemon.admin

import fireflyhinge.config.ConfigKinds
import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.daemon.config.VersionsAnswer
import fireflyhinge.daemon.config.VersionsRequest
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.ObjectName
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Answers questions about the whole fleet. */
class FleetAdmin(
    private val membership: Membership,
    private val config: ConfigService,
    private val peers: PeerTransport,
) : AutoCloseable {
    private val workers = Executors.newFixedThreadPool(PARALLEL) { Thread(it, "fleet-admin").apply { isDaemon = true } }

    /** State of the fleet as this VM sees it. */
    fun status(): FleetStatus =
        FleetStatus(
            vm = membership.self().id,
            ready = config.ready(),
            isolated = membership.isolated(),
            digest = config.digest().toString(),
            objects = ConfigKinds.REPLICATED.associateWith { kind -> config.copy.stored(kind).size },
            members = membership.members(),
        )

    /** Asks all VMs for the version of [target] and the digest that they hold. */
    fun versions(target: ObjectName?, atLeast: Long): HeldVersions {
        val asked = membership.members().filter { it.state != MemberState.GONE }
        val held = workers.invokeAll(asked.map { member -> Callable { held(member, target) } }).map { it.get() }
        val complete =
            if (target == null) {
                held.map { it.digest }.distinct().size == 1 && held.first().digest != null
            } else {
                held.all { it.version != null && it.version >= atLeast }
            }
        return HeldVersions(complete, held)
    }

    override fun close() {
        workers.shutdownNow()
    }

    private fun held(member: Member, target: ObjectName?): HeldVersion {
        val answer = ask(member, VersionsRequest(listOfNotNull(target)))
        val version = if (answer == null || target == null) null else answer.versions[target.toString()] ?: 0
        return HeldVersion(member.id, member.state, version, answer?.digest?.toString())
    }

    private fun ask(member: Member, request: VersionsRequest): VersionsAnswer? {
        if (member.id == membership.self().id) return config.versions(request)
        val path = VersionsRequest.PATH
        val result = peers.post(member.id, path, request, VersionsAnswer::class.java, TIMEOUT_MILLIS)
        return (result as? PeerResult.Ok)?.value
    }

    private companion object {
        const val PARALLEL = 16
        const val TIMEOUT_MILLIS = 1_000L
    }
}
