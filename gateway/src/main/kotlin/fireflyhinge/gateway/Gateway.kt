package fireflyhinge.gateway

import fireflyhinge.forward.CallerLimits
import fireflyhinge.forward.ColdBudget
import fireflyhinge.forward.ColdReplicas
import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.DownVms
import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetSizePolicies
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.GatewayAddressSelector
import fireflyhinge.forward.HeldBytesLimits
import fireflyhinge.forward.PrefillRates
import fireflyhinge.forward.QuotaHolders
import fireflyhinge.forward.QuotaShares
import fireflyhinge.forward.QuotaStartCredit
import fireflyhinge.forward.ReplicaSelector
import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.RetryBudgetShares
import fireflyhinge.forward.ServiceVersions
import fireflyhinge.forward.StoreEras
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.StreamOrigins
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.fleet.CheckerSelector
import fireflyhinge.gateway.fleet.ControlHandler
import fireflyhinge.gateway.fleet.CopyExchange
import fireflyhinge.gateway.fleet.CopyFeed
import fireflyhinge.gateway.fleet.CopyFeedHandler
import fireflyhinge.gateway.fleet.EvacuationGuard
import fireflyhinge.gateway.fleet.EvidenceBroadcaster
import fireflyhinge.gateway.fleet.EvidenceStore
import fireflyhinge.gateway.fleet.FleetUpdates
import fireflyhinge.gateway.fleet.Gossip
import fireflyhinge.gateway.fleet.KnownEra
import fireflyhinge.gateway.fleet.LoadBroadcaster
import fireflyhinge.gateway.fleet.OwnEntry
import fireflyhinge.gateway.fleet.OwnedQueues
import fireflyhinge.gateway.fleet.PeerClient
import fireflyhinge.gateway.fleet.PeerQuotaBorrower
import fireflyhinge.gateway.fleet.PeerWatch
import fireflyhinge.gateway.fleet.QueueCapacity
import fireflyhinge.gateway.fleet.QueueClient
import fireflyhinge.gateway.fleet.QueueHandler
import fireflyhinge.gateway.fleet.QuotaMetrics
import fireflyhinge.gateway.fleet.QuotaProber
import fireflyhinge.gateway.fleet.StoreMetrics
import fireflyhinge.gateway.fleet.StoreMirror
import fireflyhinge.gateway.fleet.StreamOriginExchange
import fireflyhinge.gateway.fleet.StreamOriginHandler
import fireflyhinge.gateway.fleet.StreamOriginStore
import fireflyhinge.gateway.fleet.StreamRecorders
import fireflyhinge.gateway.fleet.VersionHistory
import fireflyhinge.gateway.forward.ColdReplicaMonitor
import fireflyhinge.gateway.forward.ColdSends
import fireflyhinge.gateway.forward.CrashDetector
import fireflyhinge.gateway.forward.CrashGuard
import fireflyhinge.gateway.forward.ForwardPipeline
import fireflyhinge.gateway.forward.Forwarder
import fireflyhinge.gateway.forward.PlainForwarder
import fireflyhinge.gateway.forward.PlannedStop
import fireflyhinge.gateway.forward.QueueMetrics
import fireflyhinge.gateway.forward.QueueWaiter
import fireflyhinge.gateway.forward.QuotaCharger
import fireflyhinge.gateway.forward.ReplicaLoadMetrics
import fireflyhinge.gateway.forward.ReplicaNotices
import fireflyhinge.gateway.forward.ReplicaRouting
import fireflyhinge.gateway.forward.ReplicaSender
import fireflyhinge.gateway.forward.RequestLog
import fireflyhinge.gateway.forward.ReservationClient
import fireflyhinge.gateway.forward.SlotReserver
import fireflyhinge.gateway.forward.StreamForwarder
import fireflyhinge.gateway.forward.StreamVersionGuard
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HeldMemory
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.HttpListener
import fireflyhinge.gateway.http.IoLoop
import fireflyhinge.gateway.http.StoreHttpClient
import fireflyhinge.gateway.http.monotonicMillis
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.slf4j.LoggerFactory

/** One gateway process: wires its components, starts them, and stops without interrupting requests. */
class Gateway(
    settings: GatewaySettings,
    private val protocols: GatewayProtocols,
    heldLimits: HeldBytesLimits = HeldBytesLimits.of(Runtime.getRuntime().maxMemory()),
) : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)
    private val io = IoLoop()
    private val registry = PrometheusRegistry()
    private val held = HeldMemory(io.loop, heldLimits, registry)
    private val domains = FailureDomains(settings.failureDomain, settings.regions)
    private val fleet = FleetView(record(settings))
    private val prefillRates = PrefillRates(enabled = { fleet.exchangeIntervalFactor > 1 })
    private val versions = ServiceVersions(firstStart = settings.firstStart) { replicaMirror.certainAgeMillis }
    private val table = ReplicaTable(prefillRates = prefillRates, versions = versions)
    private val era = KnownEra(StoreEras(settings.contactMillis))
    private val store =
        protocols.store(StoreHttpClient(HttpClient(ConnectionPool(io, held = held)), settings.store, era))
    private val ownEntry = OwnEntry(store, fleet)
    private val checker = CheckerSelector(fleet, domains)
    private val peerPool = ConnectionPool(io, defaultIdleLimitMillis = PEER_IDLE_MILLIS, held = held)
    private val peers = PeerClient(HttpClient(peerPool))
    private val configWatch = PeerWatch(peers, checker::watched)
    private val configFeed = CopyFeed(onBehind = configWatch::recordNewer)
    private val configMirror =
        StoreMirror(StoreObjectKind.CONFIGURATION, store, io.scope, checker::isSelf, configWatch) {
            configFeed.publish(it)
            applyConfig(it)
        }
    private val replicaMirror: StoreMirror =
        StoreMirror(StoreObjectKind.REPLICAS, store, io.scope, checker::isSelf) { applyReplicas() }
    private val evidence = CrashEvidence()
    private val evidenceStore = EvidenceStore(evidence, fleet, store)
    private val evidenceMirror =
        StoreMirror(StoreObjectKind.CRASHES, store, io.scope, checker::isSelf, onChange = evidenceStore::read)
    private val evacuations = EvacuationGuard(table, settings.evacuationMillis, registry, ::applyReplicas)
    private val evacuationMirror =
        settings.evacuationMillis?.let {
            StoreMirror(StoreObjectKind.EVACUATIONS, store, io.scope, checker::isSelf, onChange = evacuations::apply)
        }
    private val mirrors = listOfNotNull(configMirror, replicaMirror, evidenceMirror, evacuationMirror)
    private val updates = FleetUpdates(fleet, table, ::ready)
    private val copies = CopyExchange(mirrors, peers, io.scope, checker::other)
    private val gossip = Gossip(domains, peers, copies, { this.settings.seeds }, updates, evidence, prefillRates)
    private val evidenceBroadcaster = EvidenceBroadcaster(evidence, fleet, peers, io.scope)
    private val guard = CrashGuard(evidence, registry)
    private val versionHistory = VersionHistory(versions, fleet, store)
    private val origins = StreamOrigins()
    private val recorders = StreamRecorders(fleet)
    private val originStore = StreamOriginStore(origins, versions, settings.vm, recorders, store)
    private val originExchange = StreamOriginExchange(origins, versions, peers, io.scope, recorders, originStore)
    private val streamVersions = StreamVersionGuard(origins, versions, table, originExchange::find)
    private val downVms = DownVms(fleet)
    private val quotaHolders = QuotaHolders(fleet, downVms, settings.firstStart)
    private val startCredit = QuotaStartCredit(fleet, downVms)
    private val quotaMetrics = QuotaMetrics(registry)
    private val shares =
        QuotaShares(
            settings.quota,
            part = quotaHolders::part,
            settings.firstStart,
            partUntil = quotaHolders::partUntil,
            startCredit = startCredit::fraction,
            vms = { fleet.size },
        )
    private val quotaCharger =
        QuotaCharger(
            shares,
            PeerQuotaBorrower(fleet, quotaHolders, downVms, domains, peers, quotaMetrics),
            io.scope,
            quotaMetrics,
        )
    private val quotaProber =
        QuotaProber(
            downVms,
            quotaHolders,
            startCredit,
            peerPool,
            workspaces = { config?.workspaces?.keys.orEmpty() },
            refresh = {
                if (fleetKnown()) quotaHolders.listed = true
                quotaCharger.refresh(config?.workspaces?.values.orEmpty())
            },
        )
    private val retries =
        RetryBudgetShares(settings.retries, restarted = !settings.firstStart) {
            if (fleetKnown()) fleet.quotaMembers().size else maxOf(fleet.quotaMembers().size, ASSUMED_VMS)
        }
    private val coldBudget = ColdBudget(settings.vm, settings.cold)
    private val cold = ColdReplicas(table, coldBudget) { config?.services?.get(it) }
    private val coldSends = ColdSends(cold, registry)
    private val policies =
        FleetSizePolicies(fleet) { even ->
            log.atInfo().addKeyValue("policy", if (even) "even load" else "least load")
                .log("selecting replicas by another policy, for the size of the fleet")
        }
    private val selector = ReplicaSelector(table, domains, ::memoryOf, cold = cold, policy = policies)
    private val routing =
        ReplicaRouting(table, selector, retries, coldSends, largeFleet = { fleet.exchangeIntervalFactor > 1 })
    private val replicaPool = ConnectionPool(io, held = held)
    private val notices = ReplicaNotices(registry)
    private val crashes = CrashDetector(replicaPool, io.scope, evidence, registry)
    private val sender = ReplicaSender(replicaPool, protocols.replicas, notices, coldSends)
    private val replicaCalls = ReservationClient(io, replicaPool, protocols.reservations, protocols.replicas, notices)
    private val coldMonitor =
        ColdReplicaMonitor(coldBudget, cold, fleet, table, registry) {
            (fleetListed || gossip.answered > 0) && config?.services?.values?.any { it.coldPerSecond > 0 } == true
        }
    private val queueCapacity = QueueCapacity(table, routing.selector, domains, ::memoryOf)
    private val queues = OwnedQueues(io.scope, queueCapacity, registry)
    private val queueClient = QueueClient(fleet, domains, peers, queues, queueCapacity, io.scope)
    private val slots =
        SlotReserver(routing, replicaCalls) { reserve ->
            val id = "${settings.vm}/${fleet.self.startedAt}"
            QueueWaiter(id, routing, queueClient, QueueMetrics(registry), reserve)
        }
    private val plannedStop = PlannedStop()
    private val startedAt = monotonicMillis()

    @Volatile
    private var settings: GatewaySettings = settings

    @Volatile
    private var config: ForwardConfig? = null

    @Volatile
    private var fleetListed = false

    private val forwarder =
        Forwarder(
            config = { config },
            callers = protocols.callers,
            replicas = protocols.replicas,
            pipeline =
            ForwardPipeline(
                guard = guard,
                quota = quotaCharger,
                plain = PlainForwarder(routing, sender, crashes),
                streams = StreamForwarder(routing, sender, replicaCalls, crashes, slots, streamVersions),
            ),
            requestLog = RequestLog(registry),
            stop = plannedStop,
        )
    private val front =
        HttpListener(io, settings.front, { config?.limits ?: CallerLimits() }, forwarder, held, refusesEarly = true)
    private val control =
        HttpListener(
            io,
            settings.control,
            handler =
            ControlHandler(gossip, mirrors, copies, shares, evidence) { config }
                .let { CopyFeedHandler(mapOf(StoreObjectKind.CONFIGURATION to configFeed), it) }
                .let { StreamOriginHandler(origins, originExchange, QueueHandler(queues, it)) },
            memory = held,
        )
    private val discovery =
        DiscoveryHandler(
            protocols.discovery,
            GatewayAddressSelector(fleet, domains),
            // Until the configuration is known, any host may have home regions.
            { host -> config.let { if (it == null) emptySet() else it.table.homeRegions(host) } },
            ::ready,
            registry,
        ).let { handler ->
            settings.discovery.map { HttpListener(io, it, handler = handler, memory = held) }
        }

    /** Opens the ports and starts to watch the store and to gossip with other VMs. */
    fun start() {
        ReplicaLoadMetrics(table, registry)
        evidence.onNews = {
            guard.notifyChange()
            evidenceBroadcaster.notifyNews()
            evidenceStore.notifyChange()
        }
        StoreMetrics(registry, era, mirrors, ownEntry)
        (discovery + control + front).forEach { it.start() }
        quotaHolders.listening()
        io.scope.launch { quotaProber.run() }
        io.scope.launch { discoverFleet() }
        io.scope.launch { evacuations.awaitFirst() }
        mirrors.forEach { mirror -> io.scope.launch { mirror.run() } }
        io.scope.launch { gossip.run() }
        io.scope.launch { copies.run() }
        io.scope.launch { evidenceBroadcaster.run() }
        io.scope.launch { evidenceStore.run() }
        io.scope.launch { guard.applyVerdicts() }
        io.scope.launch { versionHistory.run() }
        io.scope.launch { originStore.run() }
        io.scope.launch { originExchange.run() }
        io.scope.launch { originExchange.runCopies() }
        io.scope.launch { coldMonitor.run() }
        io.scope.launch { LoadBroadcaster(io.scope, updates, domains, peers, table).run() }
        log.atInfo().addKeyValue("vm", settings.vm).addKeyValue("front", settings.front).log("started")
    }

    /** Applies the settings that may change at run time. */
    fun reload(next: GatewaySettings) {
        log.atInfo().addKeyValue("seeds", next.seeds).log("settings reloaded")
        settings = next
    }

    /**
     * Drains and stops: address lookups stop naming this VM, then new connections are refused, then running requests
     * complete. Requests that are unlikely to complete are refused meanwhile, and those that did not are ended with a
     * response when [GatewaySettings.stopMillis] is almost over. Blocks until then.
     */
    fun stop() {
        val began = monotonicMillis()
        log.info("stopping")
        val end = began + settings.stopMillis - STOP_MARGIN_MILLIS
        plannedStop.endMillis = end
        front.draining = true
        runBlocking(io.dispatcher) { gossip.announce() }
        Thread.sleep(DRAIN_GRACE_MILLIS)
        io.loop.execute { front.stopAccepting() }
        front.awaitRequests(end)
        if (front.inFlight > 0) {
            log.atInfo().addKeyValue("open", front.inFlight).log("ending requests that did not complete in time")
            io.loop.execute { front.endRequests() }
            front.awaitRequests(end + LAST_RESPONSES_MILLIS)
        }
        log.atInfo().addKeyValue("open", front.inFlight).addKeyValue("millis", monotonicMillis() - began).log("stopped")
    }

    /** Ends at once, without responses to the requests that run. A process that exits need not call it. */
    override fun close() = io.close()

    /**
     * Registers this VM and reads the list of other VMs; retries until the store has confirmed both. Then keeps this
     * VM's entry in the store.
     */
    private suspend fun discoverFleet() {
        var found = false
        var confirmedEra = 0L
        while (!found) {
            found =
                retryUntilSuccess(log, "finding the fleet") {
                    confirmedEra = era.value
                    // Of two VMs that start at once, the one that writes its entry later lists the other.
                    val registered = store.register(fleet.self)
                    val listing = store.list(StoreObjectKind.VMS) as? StoreReadResult.Listing
                    listing?.let { fleet.merge(protocols.storeObjects.vms(it.items)) }
                    registered && listing != null
                }
            if (!found) delay(REGISTER_PAUSE_MILLIS)
        }
        fleetListed = true
        quotaHolders.listed = true
        ownEntry.run(confirmedEra)
    }

    private fun ready(): Boolean = !front.draining && config != null && replicaMirror.revision > 0 && evacuations.known

    private fun fleetKnown() =
        fleetListed || gossip.answered > 0 || monotonicMillis() - startedAt > UNKNOWN_FLEET_MILLIS

    private fun memoryOf(service: String): Int = config?.services?.get(service)?.kvCapacityTokens ?: 0

    private fun applyConfig(state: StoreObjectCache) {
        val held = config
        val next = protocols.storeObjects.config(state.items().values)
        if (next == null) {
            log.atWarn().addKeyValue("held", held?.version)
                .log("no valid configuration in the store; keeping the current one")
            return
        }
        if (held != null && next.version < held.version) {
            log.atWarn().addKeyValue("held", held.version).addKeyValue("read", next.version)
                .log("ignored a configuration older than the current one")
            return
        }
        config = next
        log.atInfo().addKeyValue("config", next.version).addKeyValue("routes", next.routes.size)
            .addKeyValue("limits", next.workspaces.values.map { "${it.name} ${it.limit.ratePerSecond.toLong()}" })
            .log("configured")
    }

    private fun applyReplicas() {
        if (!evacuations.known) return
        val replicas = protocols.storeObjects.replicas(replicaMirror.state.items().values)
        if (versions.listed(replicas)) versionHistory.notifyChange()
        table.replace(replicas)
        log.atInfo().addKeyValue("replicas", replicas.map { it.toLogText() })
            .log("replicas listed")
    }

    private companion object {
        /** Callers with older addresses are served for this time; later ones are refused and use another address. */
        const val DRAIN_GRACE_MILLIS = 2_500L

        /** Time for the last responses and for the process to exit before it is killed. */
        const val STOP_MARGIN_MILLIS = 700L
        const val LAST_RESPONSES_MILLIS = 200L

        /** Less than the 15 s after which VMs close idle connections of others ([CallerLimits]). */
        const val PEER_IDLE_MILLIS = 10_000L
        const val REGISTER_PAUSE_MILLIS = 1_000L

        /** Number of VMs assumed to share the retry budget while none is known, for [UNKNOWN_FLEET_MILLIS] at most. */
        const val ASSUMED_VMS = 64
        const val UNKNOWN_FLEET_MILLIS = 3_000L

        fun record(settings: GatewaySettings) =
            VmRecord(
                name = settings.vm,
                front = settings.front.toHostPort(),
                control = settings.control.toHostPort(),
                failureDomain = settings.failureDomain,
                startedAt = System.currentTimeMillis(),
            )
    }
}
