package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StreamOriginsTest {
    private val origins = StreamOrigins(ManualClock())
    private val origin = StreamOrigin("engine", "v1")

    /** Guards against streams that no other VM knows of, and against telling of each one twice. */
    @Test
    fun streamsAreCopiedOnceUnlessTheyWereToldBefore() {
        origins.began("a", origin)
        origins.told(mapOf("of another VM" to origin))
        assertEquals(setOf("a"), origins.takeUncopied().keys)
        assertEquals(emptySet<String>(), origins.takeUncopied().keys)
        origins.began("b", origin)
        assertEquals(setOf("a", "b"), origins.takeUntold { true }.keys)
        assertEquals(emptySet<String>(), origins.takeUncopied().keys)
    }
}
