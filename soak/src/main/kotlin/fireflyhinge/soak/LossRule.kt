package fireflyhinge.soak

/** Decides whether a gateway owed the answer that a caller did not get. */
internal class LossRule(private val troubles: Troubles) {
    enum class Verdict {
        GATEWAY_DOWN,
        GATEWAY_STOPPED,
        TIME_OVER,
        REPLICA_BROKE_OFF,
        LINK_IMPAIRED,

        /** The request crossed the gateway's close, unless it turns out to have been passed on. */
        CROSSED,
        LOST,
    }

    /** Judges [end] of [sent], which reached [replicas] and was answered there as [kinds] say. */
    fun judge(sent: Sent, end: Unanswered, replicas: Collection<String>, kinds: Collection<Mischief>): Verdict {
        val prompt = end.part == null && end.waited <= SLACK_MILLIS && replicas.isEmpty()
        val crossed = prompt && sent.idle != null && (mayBeClosed(sent.idle) || stopping(sent, end))
        return when {
            troubles.overlap(Troubles.gateway(sent.gateway), sent.at, end.at) -> Verdict.GATEWAY_DOWN
            troubles.overlap(Troubles.stopped(sent.gateway), sent.at, sent.at) -> Verdict.GATEWAY_STOPPED
            // A gateway answers by itself when a replica or the time limit fails a request.
            end.silent -> Verdict.LOST
            end.at - sent.at >= Configuration.SHORTEST_TIMEOUT_MILLIS -> Verdict.TIME_OVER
            kinds.any { it.unfinished } -> Verdict.REPLICA_BROKE_OFF
            replicas.any { troubles.overlap(it, sent.at, end.at) } -> Verdict.LINK_IMPAIRED
            crossed -> Verdict.CROSSED
            else -> Verdict.LOST
        }
    }

    /** Whether a connection that was idle for [idle] may have reached an idle limit meanwhile. */
    private fun mayBeClosed(idle: Long) = idle >= Configuration.SHORTEST_IDLE_MILLIS - SLACK_MILLIS

    private fun stopping(sent: Sent, end: Unanswered) =
        troubles.overlap(Troubles.stopping(sent.gateway), sent.at, end.at)

    companion object {
        /** Longest time between a request and the end of a connection that it crosses: `bounds.lossSlackMs`. */
        const val SLACK_MILLIS = 200L
    }
}
