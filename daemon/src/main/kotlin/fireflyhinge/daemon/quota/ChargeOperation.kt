package fireflyhinge.daemon.quota

import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.PeerResult
import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.time.MonotonicClock
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Charges one request, with retries. Every retry carries the same charge id, which the owner debits once. */
internal class ChargeOperation(
    private val request: ChargeRequest,
    private val owners: OwnerClient,
    private val clock: MonotonicClock,
    private val refreshMaps: () -> Unit,
    private val abandoned: () -> Boolean,
) {
    private val searchDeadline = clock.nanos() + millisToNanos(QuotaTimes.OWNER_SEARCH_TIMEOUT_MILLIS)
    private var deadline = clock.nanos() + millisToNanos(request.maxWaitMillis)
    private val mayHaveDebited = LinkedHashSet<String>()
    private var ownerHint: String? = null
    private var lastFailure = ""
    private val backoff = RetryBackoff()

    /** Owners that may have debited the charge. */
    val ownersToRefund: Set<String> get() = mayHaveDebited

    /** Blocks until the charge may be used or is refused. */
    fun run(): Outcome<Charge> {
        while (true) {
            when (val step = step()) {
                is ChargeStep.Done -> return step.outcome
                is ChargeStep.Retry -> {
                    val late = !step.reserved && clock.nanos() + millisToNanos(step.afterMillis) > deadline
                    if (late) return unavailable("no owner answered in time")
                    if (!sleepUnlessAbandoned(step.afterMillis)) return unavailable("the caller has left")
                }
            }
        }
    }

    private fun step(): ChargeStep {
        val owner = owners.ownerOf(request.workspace, ownerHint) ?: return retryWithNewMaps("the owner is not known")
        ownerHint = null
        val left = maxOf(0, TimeUnit.NANOSECONDS.toMillis(deadline - clock.nanos()))
        val call = owners.charge(owner, request.copy(maxWaitMillis = left))
        return when (val result = call.result) {
            is PeerResult.Ok -> onReply(owner, result.value, call.sentAt)
            is PeerResult.Failed -> {
                mayHaveDebited.add(owner)
                retryWithNewMaps(result.reason, backoff.nextMillis())
            }
            is PeerResult.Unreachable -> retryWithNewMaps(result.reason)
            PeerResult.ConnectionRefused -> retryWithNewMaps("connection refused")
        }
    }

    private fun onReply(owner: String, reply: ChargeReply, sentAt: Long): ChargeStep =
        when (reply) {
            is ChargeReply.Granted -> {
                mayHaveDebited.add(owner)
                onGranted(owner, reply, sentAt)
            }
            is ChargeReply.RateExceeded -> refused(ResultCode.RATE_EXCEEDED, reply.retryAfterMillis)
            is ChargeReply.Barred -> refused(ResultCode.FINGERPRINT_BARRED, reply.retryAfterMillis)
            is ChargeReply.ExceedsBurst ->
                refused(ResultCode.BURST_TOO_SMALL, retryAfterMillis = null, detail = "at most ${reply.depth} tokens")
            is ChargeReply.NotOwner -> {
                ownerHint = reply.owner.takeIf { it != owner }
                retryWithNewMaps("$owner does not own the quota")
            }
        }

    private fun onGranted(owner: String, reply: ChargeReply.Granted, sentAt: Long): ChargeStep {
        if (reply.waitMillis > QuotaTimes.MAX_LOCAL_WAIT_MILLIS) {
            val retryAfter = (reply.waitMillis * QuotaTimes.RETRY_WAIT_FACTOR).toLong() - QuotaTimes.RETRY_LEAD_MILLIS
            return ChargeStep.Retry(afterMillis = retryAfter, reserved = true)
        }
        val wait = (millisToNanos(reply.waitMillis) * QuotaTimes.CLOCK_DRIFT_FACTOR).toLong()
        if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
        // A late grant is discarded. The retry carries the same charge id, and the owner charges it anew.
        val late = clock.nanos() - sentAt - wait > millisToNanos(QuotaTimes.MAX_REPLY_MILLIS)
        if (late) return retry("an answer came too late to be used", afterMillis = backoff.nextMillis())
        val charge =
            Charge(
                chargeId = request.chargeId,
                workspace = request.workspace,
                tokens = request.tokens,
                epoch = reply.epoch,
                owner = owner,
                crashes = reply.crashes,
            )
        return ChargeStep.Done(Outcome.Success(charge))
    }

    private fun retryWithNewMaps(reason: String, afterMillis: Long = QuotaTimes.MIN_RETRY_DELAY_MILLIS): ChargeStep {
        refreshMaps()
        return retry(reason, afterMillis)
    }

    /**
     * Finding an owner and getting a usable reply does not count against the time that the request may wait for tokens,
     * because the first call of a process that has just started may take more than a second.
     */
    private fun retry(reason: String, afterMillis: Long): ChargeStep {
        lastFailure = reason
        deadline = maxOf(deadline, minOf(clock.nanos() + millisToNanos(request.maxWaitMillis), searchDeadline))
        return ChargeStep.Retry(afterMillis = afterMillis, reserved = false)
    }

    private fun refused(code: ResultCode, retryAfterMillis: Long?, detail: String = "") =
        ChargeStep.Done(Outcome.Failure(code, detail = detail, retryAfterMillis = retryAfterMillis))

    private fun unavailable(reason: String): Outcome.Failure {
        val cause = if (lastFailure.isEmpty()) reason else "$reason: $lastFailure"
        log.warn(
            "charge {} of {} tokens for workspace {} failed: {}; owners that may have debited it: {}",
            request.chargeId,
            request.tokens,
            request.workspace,
            cause,
            mayHaveDebited,
        )
        return Outcome.Failure(ResultCode.QUOTA_UNAVAILABLE, detail = cause)
    }

    /** Sleeps for [millis] or until the caller leaves; returns whether the caller is still there. */
    private fun sleepUnlessAbandoned(millis: Long): Boolean {
        val end = clock.nanos() + millisToNanos(millis)
        while (!abandoned()) {
            val left = end - clock.nanos()
            if (left <= 0) return true
            TimeUnit.NANOSECONDS.sleep(minOf(left, millisToNanos(QuotaTimes.CALLER_POLL_MILLIS)))
        }
        return false
    }

    private fun millisToNanos(millis: Long) = TimeUnit.MILLISECONDS.toNanos(millis)

    private companion object {
        val log = LoggerFactory.getLogger(ChargeOperation::class.java)!!
    }
}
