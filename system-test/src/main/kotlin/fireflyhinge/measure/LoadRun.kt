package fireflyhinge.measure

import fireflyhinge.systemtest.ChatCall
import fireflyhinge.systemtest.ChatCaller
import fireflyhinge.systemtest.ChatOutcome
import fireflyhinge.systemtest.Fleet
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/** Sends planned requests at their times, whether or not earlier ones were answered. */
internal class LoadRun(private val fleet: Fleet, private val caller: ChatCaller) {
    private val addresses = AddressBook(fleet)

    /** Sends [requests] and calls [fault] after [faultAtNanos]; returns each request with its outcome. */
    fun run(
        requests: List<PlannedRequest>,
        faultAtNanos: Long,
        fault: () -> Unit,
    ): List<Pair<PlannedRequest, ChatOutcome>> {
        val pool = Executors.newCachedThreadPool()
        val start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LEAD_MILLIS)
        pool.submit {
            sleepUntil(start + faultAtNanos)
            fault()
        }
        val futures: List<Future<ChatOutcome>> =
            requests.map { request ->
                sleepUntil(start + request.atNanos)
                pool.submit(Callable { send(request, start + request.atNanos) })
            }
        val outcomes = futures.map { it.get() }
        pool.shutdown()
        return requests.zip(outcomes)
    }

    // A caller whose connection is refused or cut before any answer tries the next address, as the brief's callers do.
    private fun send(request: PlannedRequest, at: Long): ChatOutcome {
        val call =
            ChatCall(
                workspace = request.workspace,
                key = fleet.spec.workspaces.first { it.name == request.workspace }.key,
                model = fleet.spec.model,
                messages = request.messages,
                maxTokens = request.maxTokens,
                intendedAt = at,
            )
        val known = addresses.addresses(request.workspace, request.failureDomain)
        val first = caller.stream(known.first(), call)
        if (first.failure == null || first.tokenTimes.isNotEmpty()) return first
        val renewed = addresses.addresses(request.workspace, request.failureDomain, renew = true)
        return caller.stream(renewed.firstOrNull { it != known.first() } ?: renewed.first(), call)
    }

    private fun sleepUntil(time: Long) {
        while (true) {
            val left = time - System.nanoTime()
            if (left <= 0) return
            LockSupport.parkNanos(left)
        }
    }

    private companion object {
        const val LEAD_MILLIS = 200L
    }
}
