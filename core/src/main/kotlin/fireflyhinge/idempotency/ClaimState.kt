package fireflyhinge.idempotency

/** State of a claim. */
enum class ClaimState {
    /** The call may have been sent. */
    CLAIMED,

    /** The call has its response. */
    DONE,

    /** Nothing was sent, and nothing will be sent under this claim. */
    NOT_RUN,
}
