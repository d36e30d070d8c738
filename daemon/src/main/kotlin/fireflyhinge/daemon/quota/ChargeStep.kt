package fireflyhinge.daemon.quota

import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome

/** Result of one question to an owner. */
internal sealed interface ChargeStep {
    /** The request is charged or refused. */
    data class Done(val outcome: Outcome<Charge>) : ChargeStep

    /** The owner must be asked again [afterMillis]; [promised] if it has reserved the tokens for then. */
    data class Again(val afterMillis: Long, val promised: Boolean) : ChargeStep
}
