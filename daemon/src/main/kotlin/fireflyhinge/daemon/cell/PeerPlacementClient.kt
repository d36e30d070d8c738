package fireflyhinge.daemon.cell

import fireflyhinge.config.ConfigSource
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.schedule.PlacementClient
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Places requests with the cell owners of this daemon's region, or of another region if that one has no capacity. */
class PeerPlacementClient(
    private val router: OwnerRouter,
    config: ConfigSource,
    registry: PrometheusRegistry,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) : PlacementClient, AutoCloseable {
    private val plans = CellPlans(config)
    private val workers = Executors.newCachedThreadPool(DaemonThreadFactory("placement"))
    private val timer = Executors.newSingleThreadScheduledExecutor(DaemonThreadFactory("ticket-renewal"))
    private val renewer = TicketRenewer(router, plans, clock, workers)
    private val crossRegion =
        Counter.builder()
            .name("fireflyhinge_cross_region_placements_total")
            .help("Requests placed in another region than that of the daemon that accepted them")
            .labelNames("service", "region")
            .register(registry)

    /** Starts the ticket renewals. */
    fun start() {
        timer.scheduleAtFixedRate(
            LoopTask("ticket renewal", renewer::renewAll),
            RENEWAL_INTERVAL_MILLIS,
            RENEWAL_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS
        )
    }

    override fun place(request: PlaceRequest, abandoned: () -> Boolean): Outcome<PlaceReply.Placed> {
        val cells = cellsOf(request)
        if (cells.isEmpty()) return Outcome.Failure(ResultCode.NO_UPSTREAM, detail = request.service)
        val attempt = PlacementAttempt(request, cells, router, renewer, clock, workers)
        return when (val outcome = attempt.run(abandoned)) {
            is Outcome.Failure -> outcome
            is Outcome.Success -> Outcome.Success(hold(outcome.value))
        }
    }

    override fun progress(ticket: String, generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?) {
        renewer[ticket]?.progress(generatedTokens, prefillDone, cachedTokens, clock.millis())
    }

    override fun isValid(ticket: String): Boolean = renewer[ticket]?.isValid(clock.millis()) == true

    override fun release(ticket: String) {
        renewer[ticket]?.let(renewer::release)
    }

    /** Stops the renewals; tickets that are still open expire. */
    override fun close() {
        timer.shutdownNow()
        workers.shutdown()
    }

    private fun hold(placement: HeldPlacement): PlaceReply.Placed {
        val ticket = placement.ticket
        renewer.add(ticket)
        if (ticket.region != router.region) crossRegion.labelValues(ticket.request.service, ticket.region).inc()
        return placement.placed
    }

    /** Cells to try in order: that of this region first, then those of the other regions that have replicas. */
    private fun cellsOf(request: PlaceRequest): List<CellAddress> {
        val home = router.region
        return plans.regions(request.service)
            .filter { plans.plan(request.service, it).canServe }
            .sortedBy { it != home }
            .map { CellAddress(it, plans.plan(request.service, it).cellOfRequest(request.requestId)) }
    }

    private companion object {
        const val RENEWAL_INTERVAL_MILLIS = 1_000L
    }
}
