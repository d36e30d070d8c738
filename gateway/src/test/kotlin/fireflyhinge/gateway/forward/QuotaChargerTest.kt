package fireflyhinge.gateway.forward

import fireflyhinge.forward.ForwardWorkspace
import fireflyhinge.forward.QuotaBounds
import fireflyhinge.forward.QuotaShares
import fireflyhinge.forward.WorkspaceLimit
import fireflyhinge.gateway.fleet.Loan
import fireflyhinge.gateway.fleet.QuotaBorrower
import fireflyhinge.gateway.fleet.QuotaMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class QuotaChargerTest {
    private class Lender(private val grant: (Double) -> Double) : QuotaBorrower {
        var calls = 0

        override suspend fun borrow(workspace: String, tokens: Double): Loan {
            calls++
            delay(LOAN_MILLIS)
            return Loan(grant(tokens), complete = true)
        }

        override suspend fun repay(workspace: String, tokens: Double) = Unit
    }

    private val workspace =
        ForwardWorkspace("w", WorkspaceLimit(29_000.0, 29_000.0), defaultCost = 200, chargesTokens = true)

    /** A VM of a large fleet that holds no share of the limit; its reserve is less than one request. */
    private fun shares() =
        QuotaShares(QuotaBounds(), part = { 0.0 }, firstStart = false, startCredit = { 0.0 }, vms = { 1_500 })

    /** Guards against refusing small requests within the limit because of a loan a moment before, or in progress. */
    @Test
    fun loansThatSufficeNeedNoPause() =
        runBlocking {
            val lender = Lender { it }
            val charger = QuotaCharger(shares(), lender, this, QuotaMetrics(PrometheusRegistry()))
            val one = List(10) { charger.charge(workspace, TOKENS, TIMEOUT_MILLIS) }
            val together = List(2) { async { charger.charge(workspace, TOKENS, TIMEOUT_MILLIS) } }.awaitAll()
            assertEquals(List(12) { null }, one + together)
        }

    /** Guards against a loan for each request of a workspace that is over its limit. */
    @Test
    fun loansThatDoNotSufficeAreFollowedByPause() =
        runBlocking {
            val lender = Lender { 0.0 }
            val charger = QuotaCharger(shares(), lender, this, QuotaMetrics(PrometheusRegistry()))
            val granted = List(3) { charger.charge(workspace, TOKENS, timeoutMillis = 0) }.count { it == null }
            assertEquals(0 to 1, granted to lender.calls)
        }

    private companion object {
        const val TOKENS = 200.0
        const val LOAN_MILLIS = 5L

        /** Somewhat longer than an eighth of an objective of 0.35 s, and shorter than the pause between loans. */
        const val TIMEOUT_MILLIS = 60L
    }
}
