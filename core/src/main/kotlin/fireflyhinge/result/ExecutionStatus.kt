package fireflyhinge.result

/** Whether a request ran at an upstream. */
enum class ExecutionStatus(val wireName: String) {
    /** No upstream ran any part of the request; it is safe to send it again. */
    NOT_RUN("not_run"),

    /** The request ran and its result is known. */
    RAN("ran"),

    /** Part of the answer was delivered before the failure. */
    PARTIAL("partial"),

    /** The request may or may not have run. */
    UNKNOWN("unknown"),
}
