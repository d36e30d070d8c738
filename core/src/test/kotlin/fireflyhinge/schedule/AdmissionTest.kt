package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.config.UpstreamRole
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AdmissionTest {
    private val settings = SchedulerSettings(interactiveQueueLimit = 100, batchQueueLimit = 200)
    private val queue = FairQueue(settings.classWeights) { 1.0 }
    private val rates = ServiceRates()
    private val replicas = CellReplicas(settings)
    private val admission = Admission(settings, replicas, queue, rates, openAt = 0)

    private fun configure() =
        replicas.configure(upstreams(UpstreamRole.PREFILL, 1) + upstreams(UpstreamRole.DECODE, 1))

    private fun entries(workspace: String, count: Int, priority: Priority, lateAt: Long = Long.MAX_VALUE) =
        List(count) { n ->
            QueueEntry(
                request = request("$workspace$lateAt-$n", workspace, priority),
                limits = WaitLimits(deadline = Long.MAX_VALUE, lateAt = lateAt),
                lastRequestedAt = 0,
            )
        }

    private fun fill(workspace: String, count: Int, priority: Priority, lateAt: Long = Long.MAX_VALUE) =
        entries(workspace, count, priority, lateAt).forEach(queue::add)

    /**
     * Guards against the early refusal of requests that can be served in time, whether from a workspace that does not
     * flood or in the late class, and against queueing requests that cannot be served in time.
     */
    @Test
    fun onlyARequestBeyondCapacityIsRefusedEarly() {
        configure()
        fill("flood", count = 98, Priority.INTERACTIVE)
        fill("brief", count = 30, Priority.INTERACTIVE)
        fill("full", count = 60, Priority.INTERACTIVE)
        fill("full", count = 40, Priority.INTERACTIVE, lateAt = 0)
        fill("slow", count = 65, Priority.INTERACTIVE)
        fill("slow", count = 30, Priority.INTERACTIVE, lateAt = 0)
        fill("light", count = 2, Priority.INTERACTIVE)
        fill("batch", count = 150, Priority.BATCH)
        fill("batchfull", count = 200, Priority.BATCH)
        // 100 tokens/ms, of which the late class gets 10. Five workspaces are on time and two are late.
        rates.record(emptyList(), queue, now = 0)
        rates.record(entries("x", 164, Priority.BATCH) + entries("y", 18, Priority.INTERACTIVE, 0), queue, now = 2_000)
        val cases =
            mapOf(
                request("1", "flood") to RefusalReason.CAPACITY,
                request("1", "brief") to null,
                request("1", "full") to RefusalReason.QUEUE_FULL,
                request("1", "slow") to null,
                request("1", "light") to null,
                request("1", "new") to null,
                request("1", "batch", Priority.BATCH) to null,
                request("1", "batchfull", Priority.BATCH) to RefusalReason.QUEUE_FULL,
            )
        cases.forEach { (request, reason) ->
            val limits = admission.limits(request, now = 2_000)
            assertEquals(reason, admission.refusal(request, limits, now = 2_000), request.workspace)
        }
    }

    /** Guards against requests that stay on time after they can no longer meet the target, and against late retries. */
    @Test
    fun aRequestIsLateWhenTheFirstTokenCannotBeInTime() {
        val plain = request("1").copy(prefixHashes = emptyList(), maxWaitMillis = 5_000)
        assertEquals(RefusalReason.NO_REPLICA, admission.refusal(plain, WaitLimits(deadline = 1), now = 0))
        configure()
        val never = Long.MAX_VALUE
        val cases =
            mapOf(
                // 1.3 s less 150 ms in the engine, 100 ms of prefill, 20 ms of transfer and 40 ms for the first step.
                plain to 990L,
                plain.copy(firstTokenMillis = 700) to 390L,
                plain.copy(firstTokenMillis = -2_000) to -2_310L,
                plain.copy(promptTokens = 30_000) to 250L,
                plain.copy(promptTokens = 30_000, firstTokenMillis = 100) to -950L,
                plain.copy(firstTokenMillis = null) to never,
                plain.copy(attempt = 2) to never,
                plain.copy(priority = Priority.BATCH) to never,
            )
        cases.forEach { (request, lateAt) ->
            assertEquals(WaitLimits(deadline = 5_000, lateAt = lateAt), admission.limits(request, now = 0), "$request")
        }
    }
}
