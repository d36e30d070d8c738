package fireflyhinge.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path

class SoakTest {
    /** Guards against broken promises under faults, on seeds that run in a few seconds. */
    @Test
    fun noPromiseIsBrokenUnderFaults() {
        assertEquals(listOf<String>(), run(Mischief.entries - Mischief.HEADER_WITHOUT_COLON))
    }

    /** Guards against a head with a line that is no header and that reaches a caller as a success. */
    @Test
    fun aHeadWithALineThatIsNoHeaderIsNoSuccess() {
        assertEquals(listOf<String>(), run(listOf(Mischief.HEADER_WITHOUT_COLON)))
    }

    private fun run(kinds: Collection<Mischief>): List<String> {
        val root = Path.of(System.getProperty("fireflyhinge.root"))
        return Soak(seed = 1, RUN_MILLIS, gatewayCount = 2, root, ::println, kinds).run()
    }

    private companion object {
        /** Faults come in the first part; then withdrawn keys are checked. */
        const val RUN_MILLIS = 21_000L
    }
}
