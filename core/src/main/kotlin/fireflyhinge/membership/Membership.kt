package fireflyhinge.membership

/** This daemon's view of all VMs. */
interface Membership {
    /** This VM's own entry. */
    fun self(): Member

    /** All known VMs, this one included, sorted by id. */
    fun members(): List<Member>

    /** The VM with this [id], or null if it is not known. */
    fun member(id: String): Member? = members().find { it.id == id }

    /** Whether this VM cannot confirm that its configuration is current. So it is until it has read it once. */
    fun isolated(): Boolean

    /** Whether there is evidence that the process of [vm] with [incarnation] (0 for any) can no longer run. */
    fun provenDead(vm: String, incarnation: Long): Boolean = deadBy(vm, incarnation) != null

    /**
     * Milliseconds of the monotonic clock at which the process of [vm] with [incarnation] (0 for any) was certainly
     * dead, or null without evidence of its death. It may have died earlier.
     */
    fun deadBy(vm: String, incarnation: Long): Long?
}
