package fireflyhinge.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path

class SoakTest {
    /** Guards against broken promises under faults, on seeds that run in a few seconds. */
    @Test
    fun noPromiseIsBrokenUnderFaults() {
        val root = Path.of(System.getProperty("fireflyhinge.root"))
        assertEquals(listOf<String>(), Soak(seed = 1, RUN_MILLIS, gatewayCount = 2, root, ::println).run())
    }

    private companion object {
        /** Faults come in the first part; then withdrawn keys are checked. */
        const val RUN_MILLIS = 21_000L
    }
}
