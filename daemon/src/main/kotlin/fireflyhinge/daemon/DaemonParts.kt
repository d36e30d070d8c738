package fireflyhinge.daemon

import fireflyhinge.config.ConfigKinds
import fireflyhinge.daemon.admin.AdminApi
import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.daemon.caller.DepartureWatch
import fireflyhinge.daemon.caller.ModelPipeline
import fireflyhinge.daemon.cell.CellService
import fireflyhinge.daemon.cell.DaemonThreadFactory
import fireflyhinge.daemon.cell.OwnerRouter
import fireflyhinge.daemon.cell.PeerPlacementClient
import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.daemon.config.ConfigSettings
import fireflyhinge.daemon.engine.HttpEngineClient
import fireflyhinge.daemon.lease.ShardService
import fireflyhinge.daemon.membership.GossipService
import fireflyhinge.daemon.membership.GossipSettings
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.peer.HttpPeerTransport
import fireflyhinge.daemon.quota.PeerQuotaClient
import fireflyhinge.daemon.quota.QuotaService
import fireflyhinge.daemon.service.ClaimRepair
import fireflyhinge.daemon.service.OkHttpServiceClient
import fireflyhinge.daemon.service.ServicePipeline
import fireflyhinge.daemon.service.ServicePorts
import fireflyhinge.daemon.settings.Settings
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.membership.Member
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerResult
import fireflyhinge.retry.RetryBudgets
import fireflyhinge.schedule.CellPolicy
import fireflyhinge.schedule.SchedulerSettings
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

/**
 * The parts of one daemon, connected but not started.
 *
 * @param openRequests caller requests in flight.
 * @param executor runs short calls to engines that nobody waits for.
 */
internal class DaemonParts(
    settings: Settings,
    registry: PrometheusRegistry,
    openRequests: () -> Int,
    executor: ExecutorService,
) {
    private val outbound = OutboundHttp(traceparent = Tracing::traceparent)
    private val engines = HttpEngineClient(outbound)
    private val seeds = settings.seedPeers.map { it.toString() }
    private val peers = HttpPeerTransport(settings.peerToken, ::controlAddress, Tracing::traceparent, ::observe)

    val store = HttpStore(settings.store.toString(), outbound, watchKinds = ConfigKinds.REPLICATED.toSet())
    val gossip: GossipService =
        GossipService(GossipSettings(self(settings), seeds), store, peers, openRequests = openRequests)
    val config = ConfigService(ConfigSettings(seeds), store, peers, gossip, syncListener = gossip.reports)
    val shards = ShardService(gossip, peers, store)
    val quota = QuotaService(shards, gossip, peers, config, regionShards = shards)
    val cells = CellService(shards, config, gossip, engines, settings = schedulerSettings(settings))
    val quotaClient = PeerQuotaClient(shards, gossip, peers, quota, refreshMaps = shards::refresh)
    val placement = PeerPlacementClient(OwnerRouter(cells, shards, gossip, peers), config, registry)
    val ports = CallerPorts(config, quotaClient, placement, engines, gossip)
    private val budgets = RetryBudgets()
    val models = ModelPipeline(ports, budgets = budgets, executor = executor)
    val departures = DepartureWatch()
    private val repairs = Executors.newSingleThreadScheduledExecutor(DaemonThreadFactory("claim-repair"))
    val services =
        ServicePipeline(ServicePorts(ports, store, OkHttpServiceClient(), ClaimRepair(store, repairs), budgets))
    val admin = AdminApi(store, config, gossip, peers, ::setDraining, orderStatus = { cells.orderStatus })

    /** Messages that this daemon serves to its peers. */
    val endpoints: List<PeerEndpoint<*>> =
        listOf(gossip.endpoint, admin.vms.endpoint) +
            config.endpoints + shards.endpoints + quota.endpoints + cells.endpoints()

    init {
        gossip.attach(config)
        shards.payload = quota.payload
        config.onObject(ConfigKinds.SHARDS, shards::learn)
        config.onObject(ConfigKinds.FENCES, gossip.reports::onFence)
    }

    /** Begins or ends draining: this VM is left out of address answers and hands its shards over. */
    fun setDraining(draining: Boolean) {
        gossip.reports.setDraining(draining)
        shards.draining = draining
    }

    fun start() {
        gossip.start()
        config.start()
        shards.start()
        quota.start()
        cells.start()
        placement.start()
    }

    /** Stops acting for shards; must come before the control listener is closed. */
    fun stop() {
        shards.close()
        cells.close()
        placement.close()
        quotaClient.close()
        quota.close()
        departures.close()
        repairs.shutdown()
        config.close()
        gossip.close()
        outbound.close()
    }

    /** Every message between daemons tells whether the peer is alive, not only gossip. */
    private fun observe(vm: String, result: PeerResult<*>) {
        when (result) {
            is PeerResult.Ok -> gossip.reports.onAnswered(vm)
            is PeerResult.ConnectionRefused -> gossip.reports.onFailed(vm, refused = true)
            is PeerResult.Unreachable -> gossip.reports.onFailed(vm, refused = false)
            // A slow answer to one message says nothing about the process.
            is PeerResult.Failed -> Unit
        }
    }

    private fun controlAddress(vm: String): String? = gossip.member(vm)?.controlAddress

    private fun self(settings: Settings) =
        Member(
            id = settings.vm,
            region = settings.region,
            failureDomain = settings.failureDomain,
            callerAddress = settings.listen.toString(),
            controlAddress = settings.controlListen.toString(),
            incarnation = System.currentTimeMillis(),
            heartbeat = 0,
        )

    private fun schedulerSettings(settings: Settings) =
        when (settings.policy) {
            "round-robin" -> SchedulerSettings(policy = CellPolicy.ROUND_ROBIN)
            "least-load" -> SchedulerSettings(policy = CellPolicy.LEAST_LOAD)
            else -> SchedulerSettings()
        }
}
