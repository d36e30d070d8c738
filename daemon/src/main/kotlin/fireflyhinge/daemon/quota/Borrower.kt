package fireflyhinge.daemon.quota

import fireflyhinge.lease.ShardOwnership
import fireflyhinge.peer.BorrowReply
import fireflyhinge.peer.BorrowRequest
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Borrows tokens from the quota owners in other regions, at most four times a second for each workspace. */
internal class Borrower(
    private val ownership: ShardOwnership,
    private val transport: PeerTransport,
    private val clock: MonotonicClock,
    private val region: String,
    private val regions: () -> Set<String>,
) : AutoCloseable {
    private val nextRequestAt = ConcurrentHashMap<String, Long>()
    private val executor =
        ThreadPoolExecutor(0, MAX_THREADS, 10, TimeUnit.SECONDS, SynchronousQueue(), { task ->
            Thread(task, "quota-borrower").apply { isDaemon = true }
        }, ThreadPoolExecutor.DiscardPolicy())

    /** Requests [tokens] for [workspace] without blocking and passes the number of borrowed tokens to [credit]. */
    fun borrow(workspace: String, shard: Int, tokens: Double, credit: (Double) -> Unit) {
        val others = regions().filter { it != region }
        if (others.isEmpty() || !acquireTurn(workspace)) return
        executor.execute { others.sorted().any { requestTokens(it, workspace, shard, tokens, credit) } }
    }

    private fun acquireTurn(workspace: String): Boolean {
        val now = clock.millis()
        var due = false
        nextRequestAt.compute(workspace) { _, at ->
            due = at == null || now >= at
            if (due) now + INTERVAL_MILLIS else at
        }
        return due
    }

    private fun requestTokens(
        lender: String,
        workspace: String,
        shard: Int,
        wanted: Double,
        credit: (Double) -> Unit,
    ): Boolean {
        val owner = ownership.ownerOf(lender, shard) ?: return false
        val sentAt = clock.millis()
        val result =
            transport.post(
                vm = owner,
                path = "/peer/v1/borrow",
                message = BorrowRequest(workspace = workspace, region = region, tokens = wanted),
                reply = BorrowReply::class.java,
                timeoutMillis = QuotaTimes.MAX_REPLY_MILLIS,
            )
        // The lender gives up what it accrues in this time. Tokens that arrive later would exceed the quota.
        val inTime = clock.millis() - sentAt <= QuotaTimes.MAX_REPLY_MILLIS
        val tokens = if (result is PeerResult.Ok && inTime) result.value.tokens else 0.0
        if (tokens > 0) credit(tokens)
        return tokens > 0
    }

    override fun close() = executor.shutdown()

    private companion object {
        const val MAX_THREADS = 16
        const val INTERVAL_MILLIS = 250L
    }
}
