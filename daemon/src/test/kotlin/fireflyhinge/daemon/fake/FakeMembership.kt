package fireflyhinge.daemon.fake

import fireflyhinge.membership.Member
import fireflyhinge.membership.Membership

/** A fleet of one VM. */
class FakeMembership(private val id: String = "vm-1") : Membership {
    var isolated = false

    override fun self() =
        Member(
            id = id,
            region = "perth",
            failureDomain = "perth-north",
            callerAddress = "127.0.0.1:1",
            controlAddress = "127.0.0.1:2",
            incarnation = 7,
            heartbeat = 1,
        )

    override fun members(): List<Member> = listOf(self())

    override fun isolated(): Boolean = isolated

    override fun deadBy(vm: String, incarnation: Long): Long? = null
}
