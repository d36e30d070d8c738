package fireflyhinge.peer

import com.fasterxml.jackson.annotation.JsonTypeInfo

/** Reply of the quota owner. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
sealed interface ChargeReply {
    /**
     * Debited; the request may proceed after [waitMillis]. Its fingerprint was involved in [crashes] replica crashes.
     */
    data class Granted(val epoch: Long, val waitMillis: Long, val crashes: Int = 0) : ChargeReply

    /** Not debited: the tokens will be available in [retryAfterMillis]. */
    data class RateExceeded(val retryAfterMillis: Long) : ChargeReply

    /** Not debited: the request costs more than the bucket's depth of [depth] tokens. */
    data class ExceedsBurst(val depth: Double) : ChargeReply

    /** Not debited: requests with this fingerprint crashed upstreams, so it is barred for [retryAfterMillis]. */
    data class Barred(val retryAfterMillis: Long) : ChargeReply

    /** This daemon does not own the quota; [owner] is the VM that it assumes to be the owner, if any. */
    data class NotOwner(val owner: String?) : ChargeReply
}
