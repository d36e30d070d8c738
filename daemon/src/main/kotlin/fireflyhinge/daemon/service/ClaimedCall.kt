package fireflyhinge.daemon.service

import fireflyhinge.idempotency.Claim
import fireflyhinge.idempotency.ClaimState
import fireflyhinge.idempotency.StoredResponse
import fireflyhinge.membership.Membership
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import java.util.Base64
import java.util.UUID

/** Runs non-idempotent calls that have an idempotency key: claims, sends once and keeps the answer for repeats. */
internal class ClaimedCall(
    private val ledger: ClaimLedger,
    private val repair: ClaimRepair,
    private val sender: ServiceSender,
    private val membership: Membership,
) {
    /** Runs [call] under its [key], or answers it from the store. */
    fun run(call: ServiceCall, key: String, abandoned: () -> Boolean): ServiceReply {
        val self = membership.self()
        val name = nameOf(call, key)
        val claim =
            Claim(
                state = ClaimState.CLAIMED,
                // Another process must never take this attempt for its own, whatever request ids callers choose.
                attempt = UUID.randomUUID().toString(),
                daemon = self.id,
                incarnation = self.incarnation,
                digest = call.digest,
            )
        return when (val result = ledger.claim(name, claim, abandoned)) {
            is ClaimResult.Own -> send(call, name, claim, result.version)
            is ClaimResult.Replay -> replay(result.answer)
            is ClaimResult.Refused -> {
                if (result.uncertain) repair.later(name, claim.notRun())
                ServiceReply.refused(result.failure)
            }
        }
    }

    /** What an earlier attempt under [key] led to, or null if none is known to have sent the call. */
    fun earlier(call: ServiceCall, key: String): ServiceReply? =
        when (val result = ledger.earlier(nameOf(call, key), call.digest)) {
            is ClaimResult.Replay -> replay(result.answer)
            is ClaimResult.Refused -> ServiceReply.refused(result.failure)
            is ClaimResult.Own, null -> null
        }

    private fun nameOf(call: ServiceCall, key: String) = Claim.nameOf(call.access.scope, call.route.name, key)

    private fun send(call: ServiceCall, name: ObjectName, claim: Claim, version: Long): ServiceReply {
        val result = sender.send(call, repeatable = null)
        val final =
            when (result) {
                null, is SendResult.NotSent -> claim.notRun()
                is SendResult.Answered -> claim.copy(state = ClaimState.DONE, answer = kept(result.answer))
                SendResult.TooLarge ->
                    claim.copy(
                        state = ClaimState.DONE,
                        answer = StoredResponse(UNKNOWN_STATUS, emptyMap(), body = null),
                    )
                // The claim stays, so that no repeat is sent while the outcome is unknown.
                is SendResult.Lost -> null
            }
        if (final != null && !ledger.finish(name, final, version)) repair.later(name, final)
        return ServiceReply.of(result, once = true)
    }

    private fun kept(answer: ServiceAnswer): StoredResponse {
        val headers = answer.headers.associate { it.first.lowercase() to it.second }
        val body = answer.body.takeIf { it.size <= StoredResponse.MAX_BODY_BYTES }
        return StoredResponse(
            status = answer.status,
            headers = headers.filterKeys { it in StoredResponse.KEPT_HEADERS },
            body = body?.let { Base64.getEncoder().encodeToString(it) },
        )
    }

    private fun replay(answer: StoredResponse): ServiceReply {
        val body = answer.body
        if (body == null) {
            val detail = "Its status was ${answer.status}."
            return ServiceReply.refused(Outcome.Failure(ResultCode.ANSWER_NOT_KEPT, detail))
        }
        val headers = answer.headers.toList() + ("Idempotency-Replayed" to "true")
        val replayed = ServiceAnswer(answer.status, headers, Base64.getDecoder().decode(body))
        // Nothing ran for this repeat, so its charge is returned.
        return ServiceReply(Outcome.Success(replayed), ran = false)
    }

    private companion object {
        const val UNKNOWN_STATUS = 0
    }
}
