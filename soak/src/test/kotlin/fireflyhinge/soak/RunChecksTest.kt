package fireflyhinge.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

class RunChecksTest {
    private val violations = Violations(seed = 7, clock = { 1_500 }, print = {})

    /** Guards against a crash of a gateway that goes unseen, and against a kill that is taken for one. */
    @Test
    fun aProcessThatEndsByItselfIsReported(@TempDir folder: Path) {
        listOf("sleep 60" to false, "exit 3" to true).forEach { (script, reported) ->
            val command = listOf("bash", "-c", script)
            val gateway = GatewayProcess(GatewayAddress(0), command, folder, violations)
            gateway.start("")
            if (!reported) gateway.kill()
            val end = System.nanoTime() + PATIENCE_NANOS
            while (reported && violations.all.isEmpty() && System.nanoTime() < end) Thread.sleep(POLL_MILLIS)
            assertEquals(if (reported) 1 else 0, violations.all.size, script)
        }
        assertTrue("ended request=- seed=7 millis=1500 gateway-0" in violations.all.single(), violations.all.single())
    }

    /** Guards against a run that is taken for a good one because it checked nothing. */
    @Test
    fun aRunThatServedNothingIsReported() {
        val tally = Tally()
        tally.add("PLAIN-200")
        assertEquals(listOf("ORDER-200", "MODEL-200", "ONCE-200", Tally.WITHDRAWN), tally.missing())
    }

    /** Guards against seeds whose faults differ from run to run. */
    @Test
    fun theSeedDecidesTheFaults() {
        assertEquals(FaultPlan(5).faults(60_000), FaultPlan(5).faults(60_000))
        assertTrue(FaultPlan(5).faults(60_000) != FaultPlan(6).faults(60_000))
    }

    private companion object {
        const val PATIENCE_NANOS = 10_000_000_000
        const val POLL_MILLIS = 20L
    }
}
