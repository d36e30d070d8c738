package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.CallKind
import fireflyhinge.forward.ColdBounds
import fireflyhinge.forward.ColdBudget
import fireflyhinge.forward.ColdReplicas
import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ForwardRoute
import fireflyhinge.forward.Replica
import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaStage
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.forward.RetryBounds
import fireflyhinge.forward.RetryBudgetShares
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.fleet.OwnedQueues
import fireflyhinge.gateway.fleet.PeerClient
import fireflyhinge.gateway.fleet.QueueCapacity
import fireflyhinge.gateway.fleet.QueueClient
import fireflyhinge.gateway.fleet.QueueHandler
import fireflyhinge.gateway.fleet.QueueName
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.HttpListener
import fireflyhinge.gateway.http.IoLoop
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import fireflyhinge.gateway.http.monotonicMillis
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.net.InetSocketAddress
import java.net.ServerSocket

/** VMs on loopback, with the parts that concern queues, and one decode replica without free slots. */
internal class QueueFixture : AutoCloseable {
    val io = IoLoop()
    private val listeners = ArrayList<HttpListener>()

    /** Free slots of the replica, and reservations that it refused. */
    var free = 0
    var refusals = 0

    /** One VM. Others know it only after [meet]. */
    inner class Vm(val name: String) {
        private val address = ServerSocket(0).use { InetSocketAddress("127.0.0.1", it.localPort) }
        private val control = "127.0.0.1:${address.port}"
        private val registry = PrometheusRegistry()
        private val domains = FailureDomains("d", mapOf("d" to "r"))
        private val table = ReplicaTable().also { it.replace(listOf(REPLICA)) }
        private val selector = ReplicaSelector(table, domains, { MEMORY_TOKENS })
        private val capacity = QueueCapacity(table, selector, domains) { MEMORY_TOKENS }
        val fleet = FleetView(VmRecord(name, control, control, "d", startedAt = 1)).also { it.heartbeat(ready = true) }
        val queues = OwnedQueues(io.scope, capacity, registry)
        val client =
            QueueClient(fleet, domains, PeerClient(HttpClient(ConnectionPool(io))), queues, capacity, io.scope)
        private val cold = ColdReplicas(table, ColdBudget(name, ColdBounds())) { null }
        private val routing =
            ReplicaRouting(table, selector, RetryBudgetShares(RetryBounds()) { 1 }, ColdSends(cold, registry))
        private val waiter = QueueWaiter(name, routing, client, QueueMetrics(registry)) { _, _ -> reserve() }

        /** Serves the control interface with [handler]. */
        suspend fun serve(handler: (RequestHandler) -> RequestHandler = { it }) {
            val sound = QueueHandler(queues, OldBuild)
            // The loop cannot wait for the port to open.
            listeners += withContext(Dispatchers.IO) { HttpListener(io, address, handler = handler(sound)).start() }
        }

        fun meet(other: Vm) = fleet.merge(listOf(other.fleet.self))

        fun leaveFleet() = fleet.heartbeat(ready = false)

        /** Awaits capacity for a request that may wait [targetMillis] in time; callers leave it after 2 s. */
        suspend fun await(targetMillis: Long = 400): QueueOutcome {
            val context = context()
            return waiter.await(context, emptySet(), context.request.arrivedMillis + targetMillis)
        }

        /** Length of the queue at this VM. */
        fun waiting(): Double =
            registry.scrape { it == "fireflyhinge_queue_length" }.single().dataPoints.single()
                .let { (it as GaugeDataPointSnapshot).value }
    }

    /** A VM that owns the queue in the view of [vm], and that [vm] knows. */
    fun ownerFor(vm: Vm): Vm =
        generateSequence(0) { it + 1 }.map { Vm("owner-$it") }.first { candidate ->
            val view = FleetView(vm.fleet.self).also { it.merge(listOf(candidate.fleet.self)) }
            view.ordered("queue/$QUEUE").first().name == candidate.name
        }.also { vm.meet(it) }

    private fun reserve(): Reservation {
        if (free == 0) return Reservation.Full.also { refusals++ }
        free--
        return Reservation.Granted("slot")
    }

    private fun context(): RequestContext {
        val route =
            ForwardRoute(
                name = "model",
                host = "h",
                pathPrefix = "/",
                kind = CallKind.STREAM,
                targets = emptyList(),
                timeoutMillis = TIMEOUT_MILLIS,
                objectiveMillis = 500,
            )
        val now = monotonicMillis()
        return RequestContext(
            request = CallerRequest("POST", "/", DefaultHttpHeaders(), ByteArray(0), now),
            metadata = RequestMetadata("q", null, null, TOKENS, null, null, null),
            admission = Admission(route, workspace = null, configVersion = 1),
            service = "s",
            deadlineMillis = now + TIMEOUT_MILLIS,
        )
    }

    override fun close() {
        listeners.forEach { it.stopAccepting() }
        io.close()
    }

    /** Knows no message about queues. */
    object OldBuild : RequestHandler {
        override suspend fun handle(request: CallerRequest, response: ResponseWriter) =
            response.respond(404, DefaultHttpHeaders(), ByteArray(0))
    }

    companion object {
        val QUEUE = QueueName("s", "r")
        private const val MEMORY_TOKENS = 50_000
        private const val TOKENS = 5_000
        private const val TIMEOUT_MILLIS = 10_000L
        private val REPLICA = Replica("i", "s", "127.0.0.1:1", "d", ReplicaStage.DECODE, slots = 10)

        /** Never completes. */
        val NEVER = CompletableDeferred<Unit>()
    }
}
