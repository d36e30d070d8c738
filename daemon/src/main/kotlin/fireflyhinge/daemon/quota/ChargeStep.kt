package fireflyhinge.daemon.quota

import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome

/** Result of one call to a quota owner. */
internal sealed interface ChargeStep {
    /** The request has been charged or refused. */
    data class Done(val outcome: Outcome<Charge>) : ChargeStep

    /** Retry after [afterMillis] milliseconds. If [reserved], the owner has reserved the tokens for that time. */
    data class Retry(val afterMillis: Long, val reserved: Boolean) : ChargeStep
}
