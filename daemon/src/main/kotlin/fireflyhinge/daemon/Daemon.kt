package fireflyhinge.daemon

import fireflyhinge.Json
import fireflyhinge.daemon.admin.AdminRoutes
import fireflyhinge.daemon.admin.OperatorAuth
import fireflyhinge.daemon.caller.CallerApi
import fireflyhinge.daemon.caller.CallerMetrics
import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.daemon.http.HttpHost
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.membership.AddressEndpoint
import fireflyhinge.daemon.settings.HostPort
import fireflyhinge.daemon.settings.Settings
import fireflyhinge.daemon.trace.SpanExport
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** One daemon process: starts its parts, drains them when it is told to stop, and stops them in order. */
internal class Daemon(given: Settings) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val builtAt = System.nanoTime()
    private val settings = given.copy(listen = given.listen.bindable(), controlListen = given.controlListen.bindable())
    private val registry = PrometheusRegistry.defaultRegistry
    private val executor = Executors.newCachedThreadPool { Thread(it, "engine-cleanup").apply { isDaemon = true } }
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "daemon").apply { isDaemon = true } }
    private val limits = HttpLimits(maxThreads = settings.maxRequests)
    private val parts = DaemonParts(settings, registry, { callerHost.inFlight }, executor)
    private val callerHost: HttpHost = HttpHost(app(::callerRoutes), settings.listen.socketAddress(), limits)
    private val controlHost = HttpHost(app(::controlRoutes), settings.controlListen.socketAddress(), limits)

    /** Runs until the process is told to stop (SIGTERM). */
    fun run() {
        SpanExport.register(settings.traceEndpoint, settings.vm)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { stop() })
        controlHost.start()
        parts.start()
        awaitConfiguration()
        callerHost.start()
        timer.scheduleWithFixedDelay(LoopTask("daemon", ::everySecond), 1, 1, TimeUnit.SECONDS)
        val addresses = mapOf("listening" to settings.listen, "control" to settings.controlListen)
        println(Json.encode(addresses.mapValues { it.value.toString() }))
        log.info("VM {} serves callers on {}", settings.vm, settings.listen)
        stopped.await()
    }

    /** Without the configuration every key would be refused as unknown; a closed port sends callers to another VM. */
    private fun awaitConfiguration() {
        while (!parts.config.ready() && !callerHost.draining) Thread.sleep(POLL_MILLIS)
    }

    private fun app(routes: (JavalinConfig) -> Unit): Javalin = Javalin.create { routes(it) }

    private fun callerRoutes(config: JavalinConfig) {
        val metrics = CallerMetrics(registry)
        CallerApi(parts.ports, parts.models, parts.services, parts.departures, metrics, limits).install(config)
        val addresses = AddressEndpoint(parts.gossip, settings.addressTtlMillis / MILLIS_PER_SECOND)
        config.routes.get("/v1/addresses") { ctx ->
            ctx.contentType("application/json").result(Json.encode(addresses.answer(ctx.queryParam("failure_domain"))))
        }
    }

    private fun controlRoutes(config: JavalinConfig) {
        ControlApi(parts.endpoints, settings.peerToken, registry, ::ready).install(config)
        AdminRoutes(parts.admin, OperatorAuth(listOf(settings.operatorToken))).register(config.routes)
    }

    /**
     * Ready once the configuration is held and this VM acts for every shard that it owns. After [ACTING_LIMIT] the
     * second is not waited for: while the store is down, a restarted VM cannot get back the shards of its predecessor.
     */
    private fun ready(): Boolean {
        val owned = (0 until parts.shards.shardCount).groupBy { parts.shards.ownerOf(settings.region, it) }
        val acting = parts.shards.actingShards.containsAll(owned[settings.vm].orEmpty())
        val waited = System.nanoTime() - builtAt > ACTING_LIMIT.toNanos()
        return parts.config.ready() && !callerHost.draining && null !in owned && (acting || waited)
    }

    private fun everySecond() {
        parts.config.offer(parts.shards.mapObjects)
        if (parts.gossip.reports.listedLeaving() && !callerHost.draining) announceDrain()
    }

    private fun announceDrain() {
        log.info("VM {} is draining", settings.vm)
        parts.setDraining(true)
        callerHost.drain()
    }

    /**
     * Stops in an order that cuts no request: callers may use an address for its whole lifetime, so new connections
     * are served that long; then running requests end; then the listener closes.
     */
    private fun stop() {
        announceDrain()
        if (parts.gossip.members().size > 1) Thread.sleep(settings.addressTtlMillis * ADDRESS_TTL_PERCENT / PERCENT)
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainLimitMillis)
        while (System.nanoTime() < deadline && callerHost.inFlight > 0) Thread.sleep(POLL_MILLIS)
        callerHost.close(CLOSE_GRACE)
        parts.stop()
        controlHost.close(Duration.ofSeconds(1))
        log.info("VM {} stopped", settings.vm)
    }

    private companion object {
        // Answers live up to 20 % longer than the setting, so that callers do not all ask at once.
        const val ADDRESS_TTL_PERCENT = 120L
        const val PERCENT = 100L
        const val MILLIS_PER_SECOND = 1000.0
        const val POLL_MILLIS = 50L
        val ACTING_LIMIT: Duration = Duration.ofSeconds(15)
        val CLOSE_GRACE: Duration = Duration.ofSeconds(15)
    }
}

private fun HostPort.socketAddress() = InetSocketAddress(host, port)
