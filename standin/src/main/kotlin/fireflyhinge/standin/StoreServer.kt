package fireflyhinge.standin

import fireflyhinge.standin.http.SilenceGate
import fireflyhinge.standin.http.StandinHost
import fireflyhinge.standin.http.breakConnection
import fireflyhinge.standin.http.connectionNumber
import fireflyhinge.standin.http.isControl
import fireflyhinge.standin.http.refuse
import fireflyhinge.standin.store.CallLimiter
import fireflyhinge.standin.store.OutageMode
import fireflyhinge.standin.store.StoreControl
import fireflyhinge.standin.store.StoreFaults
import fireflyhinge.standin.store.StoreRoutes
import fireflyhinge.standin.store.StoreSettings
import fireflyhinge.store.VmEntry
import io.javalin.http.Context

/** Stand-in for the platform store, on [listen] (`host:port`, port 0 selects a free one). */
class StoreServer(
    listen: String = "127.0.0.1:0",
    settings: StoreSettings = StoreSettings(),
) : AutoCloseable {
    /** Fault control. */
    val faults: StoreFaults = StoreFaults()

    /** Calls per kind: get, list, put, watch, vms, limited (429), refused. */
    val counts: CallCounts = CallCounts()

    private val vms = Lagging<List<VmEntry>>(lagMillis = settings.vmLagMillis, initial = emptyList())
    private val limiter = CallLimiter(settings.callsPerSecond)
    private val silence = SilenceGate()
    private val host =
        StandinHost(listen = listen) { config ->
            config.routes.before { admit(it) }
            StoreRoutes(settings = settings, faults = faults, counts = counts, vms = vms).addTo(config.routes)
            StoreControl(faults = faults, counts = counts, vms = vms, silence = silence).addTo(config.routes)
        }

    /** `host:port` as bound. */
    val address: String get() = host.address

    /** Sets the VM list, visible after the lag or at once if [immediately]. */
    fun setVms(list: List<VmEntry>, immediately: Boolean = true) = vms.set(value = list, immediately = immediately)

    /** Makes the connections that are open now silent for good, while new ones work. */
    fun silenceOpenConnections() = silence.silenceOpen()

    private fun admit(ctx: Context) {
        if (ctx.isControl()) return
        silence.note(ctx.connectionNumber())
        if (!silence.hold(ctx.connectionNumber())) return ctx.breakConnection()
        if (faults.delayMillis > 0) Thread.sleep(faults.delayMillis)
        when (faults.outage) {
            OutageMode.OFF -> limit(ctx)
            OutageMode.REFUSE -> stop(ctx = ctx, status = 503, kind = "refused")
            OutageMode.CLOSE -> ctx.breakConnection()
            OutageMode.SILENT -> {
                silence.holdWhile { faults.outage == OutageMode.SILENT }
                ctx.breakConnection()
            }
        }
    }

    private fun limit(ctx: Context) {
        if (!limiter.take()) stop(ctx = ctx, status = 429, kind = "limited")
    }

    private fun stop(ctx: Context, status: Int, kind: String) {
        counts.add(kind)
        ctx.refuse(status = status, reason = kind)
        ctx.skipRemainingHandlers()
    }

    override fun close() {
        silence.close()
        host.close()
    }
}
