package fireflyhinge.daemon.caller

import fireflyhinge.quota.CrashLevel
import java.util.concurrent.CompletableFuture

/**
 * The replica crashes that one request took part in: [earlier] ones and those among its failed attempts. Used by one
 * thread, while the verdicts on its attempts complete in others.
 */
internal class CrashTally(private val earlier: Int) {
    private val verdicts = ArrayList<CompletableFuture<Boolean>>()
    private val transfers = ArrayList<CompletableFuture<Boolean>>()

    /** Crashes known so far. */
    val crashes: Int get() = earlier + verdicts.count { it.getNow(false) }

    /** Failed attempts that are not known to be crashes. */
    val otherFailures: Int get() = verdicts.count { !it.getNow(false) }

    /** Those of [otherFailures] in which the KV transfer failed. */
    val failedTransfers: Int get() = transfers.count { !it.getNow(false) }

    /** Failed attempts whose verdict is not reached. */
    val undecided: Int get() = verdicts.count { !it.isDone }

    /** Whether the request is barred if each undecided attempt was a crash. */
    val mayBeBarred: Boolean get() = CrashLevel.of(earlier + verdicts.count { it.getNow(true) }) == CrashLevel.BARRED

    /** Adds an attempt that failed, at the KV [transfer] or elsewhere, with the verdict whether it was a crash. */
    fun failed(verdict: CompletableFuture<Boolean>, transfer: Boolean) {
        verdicts += verdict
        if (transfer) transfers += verdict
    }
}
