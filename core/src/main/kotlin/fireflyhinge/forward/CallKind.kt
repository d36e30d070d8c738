package fireflyhinge.forward

/** Response form of a route and whether its requests may be retried. */
enum class CallKind {
    /** Single response; may run more than once. */
    IDEMPOTENT,

    /** Single response; may run at most once per caller attempt. */
    NON_IDEMPOTENT,

    /** Event stream served by a prefill and a decode replica; may run at most once unless the route is resumable. */
    STREAM,
}
