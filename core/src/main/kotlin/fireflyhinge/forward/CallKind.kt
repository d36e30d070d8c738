package fireflyhinge.forward

/** How the requests of a route are answered and whether they may run again. */
enum class CallKind {
    /** Answered whole; may run more than once. */
    IDEMPOTENT,

    /** Answered whole; may run at most once for each attempt of the caller. */
    NON_IDEMPOTENT,

    /** Answered as a stream of events by a prefill and a decode replica; may run at most once unless resumable. */
    STREAM,
}
