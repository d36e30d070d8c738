package fireflyhinge.membership

/** Processes of one VM up to [incarnation] were certainly dead at [by], in milliseconds of the monotonic clock. */
internal data class EndedProcess(val incarnation: Long, val by: Long) {
    /** Merges this with [other] for the same VM: the higher incarnation or, if they are equal, the earlier time. */
    fun merge(other: EndedProcess): EndedProcess =
        when {
            other.incarnation > incarnation -> other
            other.incarnation < incarnation -> this
            else -> copy(by = minOf(by, other.by))
        }
}
