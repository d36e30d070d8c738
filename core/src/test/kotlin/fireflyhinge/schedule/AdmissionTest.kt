package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.config.UpstreamRole
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AdmissionTest {
    private val settings = SchedulerSettings(interactiveQueueLimit = 100, batchQueueLimit = 200)
    private val queue = FairQueue(0.1) { 1.0 }
    private val rate = ServiceRate()
    private val replicas = CellReplicas(settings)
    private val admission = Admission(settings, replicas, queue, rate, openAt = 0)

    private fun configure() =
        replicas.configure(upstreams(UpstreamRole.PREFILL, 1) + upstreams(UpstreamRole.DECODE, 1))

    private fun fill(workspace: String, count: Int, priority: Priority) =
        repeat(count) { queue.add(QueueEntry(request("$workspace$it", workspace, priority), Long.MAX_VALUE, 0)) }

    /** Guards against refusals of workspaces that do not flood, and against hopeless requests that are kept waiting. */
    @Test
    fun onlyTheFloodingWorkspaceIsRefusedEarly() {
        configure()
        rate.record(placedTokens = 0.0, waiting = true, now = 0)
        rate.record(placedTokens = 20_000.0, waiting = true, now = 2_000)
        fill("flood", count = 90, Priority.INTERACTIVE)
        fill("full", count = 100, Priority.INTERACTIVE)
        fill("light", count = 2, Priority.INTERACTIVE)
        fill("batch", count = 150, Priority.BATCH)
        fill("batchfull", count = 200, Priority.BATCH)
        val cases =
            mapOf(
                request("1", "flood") to RefusalReason.CAPACITY,
                request("1", "full") to RefusalReason.QUEUE_FULL,
                request("1", "light") to null,
                request("1", "new") to null,
                request("1", "batch", Priority.BATCH) to null,
                request("1", "batchfull", Priority.BATCH) to RefusalReason.QUEUE_FULL,
            )
        cases.forEach { (request, reason) ->
            val deadline = admission.deadline(request, now = 2_000)
            assertEquals(reason, admission.refusal(request, deadline, now = 2_000), request.workspace)
        }
    }

    /** Guards against waits that leave no time for the first token, and against long prompts that are never served. */
    @Test
    fun theWaitLeavesTimeForTheFirstToken() {
        val plain = request("1").copy(prefixHashes = emptyList(), maxWaitMillis = 5_000)
        assertEquals(RefusalReason.NO_REPLICA, admission.refusal(plain, deadline = 1, now = 0))
        configure()
        val cases =
            mapOf(
                // 1.3 s less 100 ms of prefill, 20 ms of transfer and 40 ms for the first step.
                plain to 1_140L,
                plain.copy(maxWaitMillis = 700) to 700L,
                plain.copy(promptTokens = 30_000) to 250L,
                plain.copy(attempt = 2) to 5_000L,
                plain.copy(priority = Priority.BATCH) to 5_000L,
            )
        cases.forEach { (request, wait) -> assertEquals(wait, admission.deadline(request, now = 0), "$request") }
    }
}
