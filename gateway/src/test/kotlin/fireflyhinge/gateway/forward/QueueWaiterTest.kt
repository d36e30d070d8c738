package fireflyhinge.gateway.forward

import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.fleet.QueueCall
import fireflyhinge.gateway.fleet.QueueReply
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.monotonicMillis
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class QueueWaiterTest {
    private val fixture = QueueFixture()
    private val vm = fixture.Vm("vm")

    @AfterEach
    fun stop() = fixture.close()

    /** Handler of an owner that does what [then] does instead of the [queue]'s handler. */
    private fun instead(then: suspend (RequestHandler, CallerRequest, ResponseWriter) -> Unit) =
        { queue: RequestHandler ->
            object : RequestHandler {
                override suspend fun handle(request: CallerRequest, response: ResponseWriter) =
                    then(queue, request, response)
            }
        }

    private fun onLoop(test: suspend CoroutineScope.() -> Unit) = runBlocking(fixture.io.dispatcher, test)

    private suspend fun millis(block: suspend () -> Unit): Long {
        val began = monotonicMillis()
        block()
        return monotonicMillis() - began
    }

    private fun call(id: String) =
        QueueCall(
            queue = QueueFixture.QUEUE,
            id = id,
            workspace = "w",
            weight = 1.0,
            tokens = 5_000,
            waitedMillis = 0,
            targetMillis = 1_000,
            expiresMillis = 3_000,
            holdMillis = 1_000,
            avoid = emptySet(),
        )

    /** Guards against a request that polls or waits on although the owner knows of free capacity. */
    @Test
    fun requestGetsTheCapacityThatBecomesFree() = onLoop {
        val owner = fixture.ownerFor(vm).also { it.serve() }
        val waiting = async { vm.await() }
        delay(100)
        assertEquals(1, fixture.refusals, "the replica was asked once")
        fixture.free = 1
        owner.queues.freed(QueueFixture.QUEUE, listOf("i"))
        assertTrue(millis { assertTrue(waiting.await() is QueueOutcome.Taken) } < PROBE_MILLIS / 2)
    }

    /** Guards against late requests that are refused while capacity is left for them before their callers leave. */
    @Test
    fun lateRequestWaitsOn() = onLoop {
        fixture.ownerFor(vm).also { it.serve() }
        launch {
            delay(700)
            fixture.free = 1
        }
        assertTrue(vm.await(targetMillis = 300) is QueueOutcome.Taken)
    }

    /** Guards against requests that wait for longer than their callers. */
    @Test
    fun requestIsRefusedWhenItsCallerWouldLeave() = onLoop {
        fixture.ownerFor(vm).also { it.serve() }
        val waited = millis { assertTrue(vm.await() is QueueOutcome.Refused) }
        assertTrue(waited in 1_400..2_000) { "$waited ms" }
    }

    /** Guards against requests that lose more than a round trip when the owner was killed. */
    @Test
    fun nextVmOwnsTheQueueOfAKilledOne() = onLoop {
        fixture.ownerFor(vm)
        fixture.free = 1
        assertTrue(millis { assertTrue(vm.await() is QueueOutcome.Taken) } < TIMEOUT_MILLIS)
    }

    /** Guards against requests that wait for a VM that does not answer instead of polling the replicas. */
    @Test
    fun requestPollsIfNoOwnerAnswers() = onLoop {
        vm.leaveFleet()
        val owner = fixture.ownerFor(vm)
        assertTrue(millis { assertEquals(QueueOutcome.Unavailable, vm.await()) } < TIMEOUT_MILLIS)
        assertEquals(null, vm.client.owner(QueueFixture.QUEUE), "${owner.name} refused the connection")
    }

    /** Guards against a frozen owner that costs each request its target, or that is never used again. */
    @Test
    fun frozenOwnerIsPassedOverForAWhile() = onLoop {
        var frozen = true
        val owner = fixture.ownerFor(vm)
        val freezing =
            instead { queue, request, response ->
                if (frozen) QueueFixture.NEVER.await() else queue.handle(request, response)
            }
        owner.serve(freezing)
        fixture.free = 2
        val first = millis { assertTrue(vm.await() is QueueOutcome.Taken) }
        assertTrue(first < 2 * TIMEOUT_MILLIS) { "$first ms" }
        assertTrue(millis { assertTrue(vm.await() is QueueOutcome.Taken) } < TIMEOUT_MILLIS)
        frozen = false
        delay(2_100)
        owner.fleet.heartbeat(ready = true)
        vm.meet(owner)
        assertEquals(owner.name, vm.client.owner(QueueFixture.QUEUE)?.name)
    }

    /** Guards against requests of a VM that is cut off in one direction and that block those of others. */
    @Test
    fun requestWhoseReplyIsLostDoesNotBlockOthers() = onLoop {
        vm.leaveFleet()
        val owner = fixture.ownerFor(vm)
        val silent =
            instead { queue, request, response ->
                val lost =
                    object : ResponseWriter by response {
                        override suspend fun respond(status: Int, headers: HttpHeaders, body: ByteArray) =
                            QueueFixture.NEVER.await()
                    }
                queue.handle(request, lost)
            }
        owner.serve(silent)
        assertEquals(QueueOutcome.Unavailable, vm.await())
        fixture.free = 1
        val other = millis { assertTrue(owner.await() is QueueOutcome.Taken) }
        assertTrue(other < 2 * TIMEOUT_MILLIS) { "$other ms" }
    }

    /** Guards against capacity that is lost with a message, and against duplicates that take a second offer. */
    @Test
    fun offerWhoseResultIsLostEnds() = onLoop {
        val queues = vm.queues
        assertTrue(queues.await(call("a")) is QueueReply.Offer)
        assertTrue(queues.await(call("a")) is QueueReply.Offer, "the same offer again")
        val waited = millis { assertTrue(queues.await(call("b")) is QueueReply.Offer) }
        assertTrue(waited in 300..2 * TIMEOUT_MILLIS) { "$waited ms" }
    }

    /** Guards against a duplicate of a call that takes the offer away from the VM's open call. */
    @Test
    fun duplicateCallReplacesTheFirst() = onLoop {
        val queues = vm.queues
        assertTrue(queues.await(call("a")) is QueueReply.Offer)
        val first = async { queues.await(call("b")) }
        delay(20)
        val second = async { queues.await(call("b")) }
        delay(20)
        assertTrue(first.await() is QueueReply.Waiting)
        queues.ended(QueueFixture.QUEUE, "a", taken = true)
        assertTrue(second.await() is QueueReply.Offer)
        queues.ended(QueueFixture.QUEUE, "b", taken = true)
        assertEquals(QueueReply.Ended, queues.await(call("b")), "late")
        assertEquals(0.0, vm.waiting())
    }

    /** Guards against more reservations than slots while two VMs take themselves for the owner. */
    @Test
    fun twoOwnersShareTheReplicasSlots() = onLoop {
        val other = fixture.Vm("other")
        fixture.free = 2
        val outcomes = (1..3).flatMap { listOf(async { vm.await() }, async { other.await() }) }.awaitAll()
        assertEquals(2, outcomes.count { it is QueueOutcome.Taken })
        assertEquals(4, outcomes.count { it is QueueOutcome.Refused })
    }

    /** Guards against waiting for an owner whose build has no queue. */
    @Test
    fun requestPollsIfTheOwnerIsOfAnOldBuild() = onLoop {
        vm.leaveFleet()
        val owner = fixture.ownerFor(vm)
        owner.serve { QueueFixture.OldBuild }
        assertTrue(millis { assertEquals(QueueOutcome.Unavailable, vm.await()) } < TIMEOUT_MILLIS)
    }

    /** Guards against requests that stay in the queue after their callers have left. */
    @Test
    fun requestWhoseCallerLeavesIsRemoved() = onLoop {
        val owner = fixture.ownerFor(vm).also { it.serve() }
        val waiting = launch { vm.await() }
        delay(100)
        assertEquals(1.0, owner.waiting())
        waiting.cancel()
        delay(100)
        assertEquals(0.0, owner.waiting())
    }

    /** Guards against queues in fleets whose VMs know of each other's load. */
    @Test
    fun smallFleetsDoNotQueue() {
        fun meet(count: Int) = vm.fleet.merge((1..count).map { VmRecord("v$it", "h:1", "h:1", "d", startedAt = 1) })
        meet(24)
        assertFalse(vm.client.enabled)
        meet(25)
        assertTrue(vm.client.enabled)
    }

    private companion object {
        /** Time after which the owner offers a replica again that reported no free capacity. */
        const val PROBE_MILLIS = 300L

        /** Time after which a VM gives up a call to an owner that does not answer. */
        const val TIMEOUT_MILLIS = 420L
    }
}
