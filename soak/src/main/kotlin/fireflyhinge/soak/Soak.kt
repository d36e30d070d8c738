package fireflyhinge.soak

import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** One run: a site under the faults that [seed] decides, for [millis], with callers that check what they get. */
internal class Soak(
    private val seed: Long,
    private val millis: Long,
    private val gatewayCount: Int,
    private val root: Path,
    private val print: (String) -> Unit,
    private val kinds: Collection<Mischief> = Mischief.entries,
    private val leftOut: Collection<FaultKind> = emptyList(),
) {
    /** Runs it and returns the violations. Logs and settings of the gateways stay in a folder below `soak/target`. */
    fun run(): List<String> {
        val folder = root.resolve("soak/target/soak/seed-$seed-${System.currentTimeMillis()}").createDirectories()
        val clock = Clock.started()
        val violations = Violations(seed, clock, print)
        val calm = Calm(clock)
        val keys = Keys(clock)
        val troubles = Troubles(clock)
        val ledger = Ledger(violations, keys, calm, LossRule(troubles), CrashRule(clock, calm, violations))
        val tally = Tally()
        print("seed=$seed gateways=$gatewayCount logs=${root.relativize(folder)}")
        val plan = MischiefPlan(seed, kinds)
        Site(plan, gatewayCount, root, folder, ledger, troubles).use { site ->
            site.open(listOf(Keys.LASTING, keys.current))
            val until = clock.millis() + millis
            val addresses = site.gateways.map { it.address }
            val shared = Caller.Shared(seed, addresses, ledger, keys, tally, clock)
            val callers = List(CALLERS) { thread(name = "caller-$it") { Caller(it, shared, until).run() } }
            plan.share = MISCHIEF_SHARE
            inject(Injector(site, keys, calm, troubles), tally, clock)
            callers.forEach { it.join() }
            plan.share = 0.0
            site.gateways.indices.filterNot(site::awaitReady).forEach {
                violations.add("recover", "-", "gateway $it is not ready after the last fault")
            }
        }
        tally.missing().forEach { violations.add("idle", "-", "nothing counted as $it") }
        val summary = "seed=$seed violations=${violations.all.size} $tally"
        print(summary)
        folder.resolve("violations.log").writeText((violations.all + summary).joinToString("\n", postfix = "\n"))
        return violations.all
    }

    private fun inject(injector: Injector, tally: Tally, clock: Clock) {
        val start = clock.millis()
        val running =
            FaultPlan(seed).faults(millis).filterNot { it.kind in leftOut }.map { fault ->
                Thread.sleep(maxOf(0, start + fault.at - clock.millis()))
                tally.add("fault-${fault.kind}")
                thread(name = "fault") { injector.run(fault) }
            }
        running.forEach { it.join() }
    }

    private companion object {
        const val CALLERS = 24
        const val MISCHIEF_SHARE = 0.1
    }
}
