package fireflyhinge.daemon.caller

import fireflyhinge.config.ConfigSource
import fireflyhinge.engine.EngineClient
import fireflyhinge.membership.Membership
import fireflyhinge.quota.QuotaClient
import fireflyhinge.schedule.PlacementClient
import fireflyhinge.time.MonotonicClock
import fireflyhinge.tokens.TokenCounter

/** What the caller API needs of the rest of the daemon. */
data class CallerPorts(
    val config: ConfigSource,
    val quota: QuotaClient,
    val placement: PlacementClient,
    val engines: EngineClient,
    val membership: Membership,
    val tokens: TokenCounter = TokenCounter.WORDS,
    val clock: MonotonicClock = MonotonicClock.SYSTEM,
)
