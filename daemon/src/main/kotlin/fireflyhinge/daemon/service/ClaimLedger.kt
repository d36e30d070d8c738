package fireflyhinge.daemon.service

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.idempotency.Claim
import fireflyhinge.idempotency.ClaimAction
import fireflyhinge.idempotency.ClaimRules
import fireflyhinge.idempotency.ClaimState
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WriteCondition
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/** Claims of non-idempotent calls in the platform store. */
internal class ClaimLedger(
    private val store: Store,
    private val limits: ServiceLimits,
    private val clock: MonotonicClock,
) {
    private val writer = ClaimWriter(store, limits, clock)

    /** Claims the call [name] with [claim]; waits for another attempt's answer until [abandoned] or the limit. */
    fun claim(name: ObjectName, claim: Claim, abandoned: () -> Boolean): ClaimResult {
        val deadline = clock.millis() + limits.claimWaitMillis
        var result = settle(name, claim, WriteCondition.Absent)
        while (result == null && clock.millis() < deadline && !abandoned()) {
            Thread.sleep(limits.claimPollMillis)
            val read = store.get(name)
            // Another attempt may have run the call, so a store that fails from now on does not mean "not run".
            if (read is StoreResult.Ok) result = step(name, claim, read.value)
        }
        return result ?: refused(ResultCode.OUTCOME_UNKNOWN)
    }

    /** Result of an earlier attempt at the call [name], without waiting; null if none is known to have sent it. */
    fun earlier(name: ObjectName, digest: String): ClaimResult? {
        val read = store.get(name) as? StoreResult.Ok ?: return null
        val found = decode(read.value) ?: return refused(ResultCode.OUTCOME_UNKNOWN)
        return when (val step = ClaimRules.decide(found, ownAttempt = "", digest = digest)) {
            is ClaimAction.Replay -> ClaimResult.Replay(step.answer)
            ClaimAction.Mismatch -> refused(ResultCode.IDEMPOTENCY_KEY_REUSED)
            ClaimAction.Wait -> refused(ResultCode.OUTCOME_UNKNOWN)
            ClaimAction.Send, ClaimAction.TakeOver -> null
        }
    }

    /** Sets the claim [name], held in [version], to its final state [claim]; false when that is not confirmed. */
    fun finish(name: ObjectName, claim: Claim, version: Long): Boolean =
        when (val result = writer.write(name, Json.encode(claim), WriteCondition.AtVersion(version))) {
            is WriteResult.Written -> true
            is WriteResult.Found -> decode(result.found).let { it?.attempt == claim.attempt && it.state == claim.state }
            is WriteResult.Failed -> false
        }

    private fun settle(name: ObjectName, claim: Claim, condition: WriteCondition): ClaimResult? =
        when (val result = writer.write(name, Json.encode(claim), condition)) {
            is WriteResult.Written -> ClaimResult.Own(result.version)
            is WriteResult.Found -> step(name, claim, result.found)
            is WriteResult.Failed -> refused(ResultCode.STORE_UNAVAILABLE, result.uncertain)
        }

    /** What the object [found] means for [claim], or null when its attempt must be waited for. */
    private fun step(name: ObjectName, claim: Claim, found: StoredObject): ClaimResult? {
        val other = decode(found) ?: return refused(ResultCode.OUTCOME_UNKNOWN)
        return when (val step = ClaimRules.decide(other, claim.attempt, claim.digest)) {
            ClaimAction.Send -> ClaimResult.Own(found.version)
            is ClaimAction.Replay -> ClaimResult.Replay(step.answer)
            ClaimAction.TakeOver -> settle(name, claim, WriteCondition.AtVersion(found.version))
            ClaimAction.Mismatch -> refused(ResultCode.IDEMPOTENCY_KEY_REUSED)
            ClaimAction.Wait -> null
        }
    }

    private fun decode(found: StoredObject): Claim? =
        try {
            Json.decode<Claim>(found.value)
        } catch (_: JsonProcessingException) {
            null
        }

    private fun refused(code: ResultCode, uncertain: Boolean = false) =
        ClaimResult.Refused(Outcome.Failure(code), uncertain)
}

/** This claim with nothing sent under it. */
internal fun Claim.notRun(): Claim = copy(state = ClaimState.NOT_RUN)
