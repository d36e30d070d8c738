package fireflyhinge.membership

/** All VMs as this daemon sees them. */
interface Membership {
    /** The entry of this VM. */
    fun self(): Member

    /** All known VMs, including this one, sorted by id. */
    fun members(): List<Member>

    /** The VM with the given [id], or null if it is not known. */
    fun member(id: String): Member? = members().find { it.id == id }

    /** Whether this VM cannot confirm that its configuration is current. True until its first read. */
    fun isolated(): Boolean

    /** Whether there is evidence that the process of [vm] with [incarnation] (0 for any) can no longer run. */
    fun provenDead(vm: String, incarnation: Long): Boolean = deadBy(vm, incarnation) != null

    /**
     * Time in milliseconds of the monotonic clock by which the process of [vm] with [incarnation] (0 for any) was
     * certainly dead, or null without evidence of its death. It may have died earlier.
     */
    fun deadBy(vm: String, incarnation: Long): Long?
}
