package fireflyhinge.lease

import fireflyhinge.membership.Member

/** Identifies one run of a daemon. After a restart the same VM runs another process, with a higher [incarnation]. */
data class ProcessId(val vm: String, val incarnation: Long)

/** The process that this member describes. */
val Member.process: ProcessId get() = ProcessId(vm = id, incarnation = incarnation)
