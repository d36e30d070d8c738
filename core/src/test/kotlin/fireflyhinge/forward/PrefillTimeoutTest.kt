package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PrefillTimeoutTest {
    private class Case(val what: String, val objectiveMillis: Long, val expected: Long)

    /** Guards against prompts that move from queue to queue under load, too late for their objective. */
    @Test
    fun promptIsMovedOnlyWhileThatHelpsItsObjective() {
        listOf(
            Case("objective of 2 s", 2_009, 800),
            Case("just enough left", 1_100, 800),
            Case("objective of 0.9 s", 900, 1_500),
            Case("waited for a slot", 300, 1_500),
            Case("already late", -100, 1_500),
        ).forEach { assertEquals(it.expected, PrefillTimeout.retryableMillis(it.objectiveMillis), it.what) }
    }
}
