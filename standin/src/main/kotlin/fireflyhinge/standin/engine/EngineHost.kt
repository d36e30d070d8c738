package fireflyhinge.standin.engine

import fireflyhinge.engine.EngineLoad
import fireflyhinge.standin.CallCounts
import fireflyhinge.standin.Lagging
import fireflyhinge.standin.http.ConnectionCutoff
import fireflyhinge.standin.http.SilenceGate
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Holds the current [Engine] and replaces it when it crashes. */
internal class EngineHost(val settings: EngineSettings, val faults: EngineFaults, val counts: CallCounts) :
    AutoCloseable {
    val silence = SilenceGate()

    /** Connections that a crash has broken. */
    val crashed = ConnectionCutoff()

    private val sampler =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "load-sampler").apply { isDaemon = true } }

    @Volatile var engine = newEngine(System.currentTimeMillis())
        private set

    @Volatile private var reports = reportsOf(engine)

    init {
        sampler.scheduleAtFixedRate({ reports.set(engine.load()) }, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** The load report, which lags. */
    fun report(): EngineLoad = reports.get().copy(incarnation = engine.incarnation, leaving = faults.leaving)

    /** Loses everything: the process ends, or connections break and the incarnation changes. */
    @Synchronized
    fun crash() {
        if (settings.exitOnCrash) Runtime.getRuntime().halt(CRASH_STATUS)
        val old = engine
        val incarnation = maxOf(old.incarnation + 1, System.currentTimeMillis())
        crashed.cut()
        engine = newEngine(incarnation)
        reports = reportsOf(engine)
        old.close()
    }

    private fun newEngine(incarnation: Long) = Engine(settings, incarnation, faults = faults, counts = counts)

    private fun reportsOf(engine: Engine) = Lagging(lagMillis = settings.loadLagMillis, initial = engine.load())

    override fun close() {
        sampler.shutdownNow()
        silence.close()
        engine.close()
    }

    private companion object {
        const val SAMPLE_MILLIS = 20L
        const val CRASH_STATUS = 70
    }
}
