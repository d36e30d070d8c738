package fireflyhinge.gateway.http

import fireflyhinge.forward.CallerLimits

/** State of a listener that its connections use. Read on any thread. */
internal interface ListenerState {
    /** Limits for callers; may change while connections are open. */
    val limits: CallerLimits

    /** Whether the process is stopping: responses then announce that their connection is closed. */
    val draining: Boolean

    /** Whether the port is open; otherwise connections close as soon as they are idle. */
    val accepting: Boolean

    /** Whether there is memory for a request whose head was read. */
    fun acceptRequest(): Boolean
}
