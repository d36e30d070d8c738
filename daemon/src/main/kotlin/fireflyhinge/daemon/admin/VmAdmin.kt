package fireflyhinge.daemon.admin

import fireflyhinge.Json
import fireflyhinge.config.ConfigKinds
import fireflyhinge.config.Fence
import fireflyhinge.membership.Member
import fireflyhinge.membership.MemberState
import fireflyhinge.membership.Membership
import fireflyhinge.peer.Accepted
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName

/**
 * Operations on VMs.
 *
 * @param setDraining begins or ends draining of this VM.
 * @param wallMillis time of day in milliseconds since 1970.
 */
class VmAdmin(
    private val membership: Membership,
    private val peers: PeerTransport,
    private val writer: ObjectWriter,
    private val wallMillis: () -> Long = System::currentTimeMillis,
    private val setDraining: (Boolean) -> Unit,
) {
    /** Handler of `POST /peer/v1/drain`. */
    val endpoint =
        PeerEndpoint(DrainRequest.PATH, DrainRequest::class.java) {
            setDraining(it.draining)
            Accepted()
        }

    /** Makes [vm] drain or take requests again. */
    fun drain(vm: String, draining: Boolean): Outcome<Accepted> {
        if (vm == membership.self().id) {
            setDraining(draining)
            return Outcome.Success(Accepted())
        }
        if (membership.member(vm) == null) return unknown(vm)
        val message = DrainRequest(draining)
        return when (val result = peers.post(vm, DrainRequest.PATH, message, Accepted::class.java, TIMEOUT_MILLIS)) {
            is PeerResult.Ok -> Outcome.Success(result.value)
            is PeerResult.Failed -> Outcome.Failure(ResultCode.CHANGE_UNCONFIRMED, "$vm: ${result.reason}")
            else -> Outcome.Failure(ResultCode.VM_UNREACHABLE, "$vm: $result")
        }
    }

    /**
     * Records the operator's assertion that no process of [vm] started before now runs. Peers then take over its
     * shards without waiting for the store. A VM that still answers is fenced only if [force] is set.
     */
    fun fence(vm: String, force: Boolean, options: ChangeOptions): Outcome<Change> {
        val member = membership.member(vm) ?: return unknown(vm)
        if (answers(member) && !force) {
            return Outcome.Failure(ResultCode.OBJECT_INVALID, "$vm still answers; stop it first or set force")
        }
        val fence = Fence(vm, incarnation = maxOf(member.incarnation, wallMillis()), changeId = options.changeId)
        return writer.write(ObjectName(ConfigKinds.FENCES, vm), options) { Outcome.Success(Json.encode(fence)) }
    }

    private fun answers(member: Member) = member.state == MemberState.LIVE || member.state == MemberState.DRAINING

    private fun unknown(vm: String) = Outcome.Failure(ResultCode.OBJECT_UNKNOWN, "no VM has id $vm")

    private companion object {
        const val TIMEOUT_MILLIS = 3_000L
    }
}
