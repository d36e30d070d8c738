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

/** Asks the owners in other regions for tokens, at most four times a second for each workspace. */
internal class Borrower(
    private val ownership: ShardOwnership,
    private val transport: PeerTransport,
    private val clock: MonotonicClock,
    private val region: String,
    private val regions: () -> Set<String>,
) : AutoCloseable {
    private val nextAt = ConcurrentHashMap<String, Long>()
    private val threads =
        ThreadPoolExecutor(0, MAX_THREADS, 10, TimeUnit.SECONDS, SynchronousQueue(), { task ->
            Thread(task, "quota-borrower").apply { isDaemon = true }
        }, ThreadPoolExecutor.DiscardPolicy())

    /** Asks for [tokens] of [workspace] without blocking and gives what was lent to [credit]. */
    fun borrow(workspace: String, shard: Int, tokens: Double, credit: (Double) -> Unit) {
        val others = regions().filter { it != region }
        if (others.isEmpty() || !due(workspace)) return
        threads.execute { others.sorted().any { ask(it, workspace, shard, tokens, credit) } }
    }

    private fun due(workspace: String): Boolean {
        val now = clock.millis()
        var due = false
        nextAt.compute(workspace) { _, at ->
            due = at == null || now >= at
            if (due) now + INTERVAL_MILLIS else at
        }
        return due
    }

    private fun ask(lender: String, workspace: String, shard: Int, wanted: Double, credit: (Double) -> Unit): Boolean {
        val owner = ownership.ownerOf(lender, shard) ?: return false
        val sentAt = clock.millis()
        val result =
            transport.post(
                vm = owner,
                path = "/peer/v1/borrow",
                message = BorrowRequest(workspace = workspace, region = region, tokens = wanted),
                reply = BorrowReply::class.java,
                timeoutMillis = QuotaTimes.REPLY_LIMIT_MILLIS,
            )
        // The lender gave up what it accrued in this time; tokens that travel longer would come on top.
        val inTime = clock.millis() - sentAt <= QuotaTimes.REPLY_LIMIT_MILLIS
        val tokens = if (result is PeerResult.Ok && inTime) result.value.tokens else 0.0
        if (tokens > 0) credit(tokens)
        return tokens > 0
    }

    override fun close() = threads.shutdown()

    private companion object {
        const val MAX_THREADS = 16
        const val INTERVAL_MILLIS = 250L
    }
}
