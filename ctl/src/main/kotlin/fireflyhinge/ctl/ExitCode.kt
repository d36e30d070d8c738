package fireflyhinge.ctl

/** Exit codes of `fireflyctl`, for scripts. */
enum class ExitCode(val number: Int) {
    /** The change was accepted, or the question answered. */
    OK(0),

    /** The daemon refused; nothing was changed. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** Another operator changed the object; nothing was changed. */
    CONFLICT(3),

    /** No daemon could be reached, or the daemon could not reach the store; nothing was changed. */
    UNREACHABLE(4),

    /** The change may or may not have been made; read the object. */
    UNKNOWN(5),

    /** The change was accepted, but not every VM held it in time. */
    WAIT_TIMED_OUT(6),
}
