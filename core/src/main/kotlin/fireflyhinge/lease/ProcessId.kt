package fireflyhinge.lease

import fireflyhinge.membership.Member

/** One run of a daemon. A restart of the same VM is another process, with a higher [incarnation]. */
data class ProcessId(val vm: String, val incarnation: Long)

/** The process that this member describes. */
val Member.process: ProcessId get() = ProcessId(vm = id, incarnation = incarnation)
