package fireflyhinge.daemon.service

import fireflyhinge.config.Priority
import fireflyhinge.daemon.caller.CallerLink
import fireflyhinge.daemon.caller.PipelineLimits
import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Takes a plain call through charge, claim and sending. */
class ServicePipeline(
    private val ports: ServicePorts,
    private val waits: PipelineLimits = PipelineLimits(),
) {
    private val caller = ports.caller
    private val sender =
        ServiceSender(
            client = ports.client,
            replicas = ReplicaChooser(caller.config, caller.membership.self().region),
            budgets = ports.budgets,
            attempts = ports.limits.attempts,
        )
    private val claimed =
        ClaimedCall(
            ledger = ClaimLedger(ports.store, ports.limits, caller.clock),
            repair = ports.repair,
            sender = sender,
            membership = caller.membership,
        )

    /** Blocks until [call] is answered or refused. */
    fun run(call: ServiceCall, link: CallerLink): Outcome<ServiceAnswer> {
        val charge =
            when (val charged = charge(call, link)) {
                is Outcome.Failure -> return earlier(call)?.outcome ?: charged
                is Outcome.Success -> charged.value
            }
        var ran = true
        return try {
            val reply = send(call, link)
            ran = reply.ran
            reply.outcome
        } finally {
            charge?.let { caller.quota.settle(it, if (ran) 0.0 else it.tokens) }
        }
    }

    // A refusal says "not run", which would be false for a repeat of a call that was sent earlier.
    private fun earlier(call: ServiceCall): ServiceReply? =
        call.idempotencyKey?.takeUnless { call.route.idempotent }?.let { claimed.earlier(call, it) }

    private fun charge(call: ServiceCall, link: CallerLink): Outcome<Charge?> {
        val workspace = call.access.workspace ?: return Outcome.Success(null)
        val priority = workspace.priority
        val request =
            ChargeRequest(
                chargeId = call.requestId,
                workspace = workspace.name,
                tokens = call.route.costTokens,
                fingerprint = call.digest,
                priority = priority,
                // A plain call is never queued for minutes, whatever the priority of its workspace.
                maxWaitMillis = waits.chargeWait(Priority.INTERACTIVE),
            )
        return Tracing.hop("charge") { caller.quota.charge(request, link::departed) }
    }

    private fun send(call: ServiceCall, link: CallerLink): ServiceReply {
        val key = call.idempotencyKey
        return when {
            // Checked again, as a charge may take a second in which the key can be withdrawn.
            !call.access.stillGranted(caller.config.current()) ->
                ServiceReply.refused(Outcome.Failure(ResultCode.KEY_UNKNOWN))
            call.route.idempotent -> ServiceReply.of(sender.send(call, link), once = false)
            key != null -> claimed.run(call, key, link::departed)
            else -> ServiceReply.of(sender.send(call, repeatable = null), once = true)
        }
    }
}
