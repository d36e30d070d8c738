package fireflyhinge.daemon

import fireflyhinge.Json
import fireflyhinge.config.ConfigKinds
import fireflyhinge.daemon.caller.CallerApi
import fireflyhinge.daemon.caller.CallerMetrics
import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.daemon.caller.DepartureWatch
import fireflyhinge.daemon.caller.ModelPipeline
import fireflyhinge.daemon.cell.CellService
import fireflyhinge.daemon.cell.OwnerRouter
import fireflyhinge.daemon.cell.PeerPlacementClient
import fireflyhinge.daemon.config.ConfigService
import fireflyhinge.daemon.config.ConfigSettings
import fireflyhinge.daemon.engine.HttpEngineClient
import fireflyhinge.daemon.http.HttpHost
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.lease.ShardService
import fireflyhinge.daemon.membership.GossipService
import fireflyhinge.daemon.membership.GossipSettings
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.peer.HttpPeerTransport
import fireflyhinge.daemon.quota.PeerQuotaClient
import fireflyhinge.daemon.quota.QuotaService
import fireflyhinge.daemon.settings.Settings
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.daemon.trace.Tracing
import fireflyhinge.membership.Member
import fireflyhinge.schedule.CellPolicy
import fireflyhinge.schedule.SchedulerSettings
import io.javalin.Javalin
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** One daemon process: builds all parts from [settings], connects them, and stops them in order. */
class Daemon(private val settings: Settings) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val registry = PrometheusRegistry.defaultRegistry
    private val outbound = OutboundHttp(traceparent = Tracing::traceparent)
    private val store = HttpStore(settings.store.toString(), outbound, watchKinds = ConfigKinds.COPIED.toSet())
    private val engines = HttpEngineClient(outbound)
    private val peers = HttpPeerTransport(settings.peerToken) { gossip.member(it)?.controlAddress }

    // The listeners are bound before the parts are built, because a member's entry contains its real ports.
    private val callerHost = DeferredHost(settings.listen, HttpLimits(maxThreads = settings.maxRequests))
    private val controlHost = DeferredHost(settings.controlListen, HttpLimits(maxThreads = settings.maxRequests))
    private val gossip =
        GossipService(
            settings = GossipSettings(self = self(), seeds = settings.seedPeers.map { it.toString() }),
            store = store,
            peers = peers,
            openRequests = { callerHost.host.inFlight },
        )
}
