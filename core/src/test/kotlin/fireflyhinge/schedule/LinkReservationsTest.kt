package fireflyhinge.schedule

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class LinkReservationsTest {
    /** Guards against two concurrent transfers on one link, and against an unused gap between reservations. */
    @Test
    fun reservationsDoNotOverlap() {
        val random = Random(7)
        val link = LinkReservations()
        val taken = mutableListOf<LongRange>()
        repeat(200) {
            val from = random.nextLong(2_000)
            val duration = random.nextLong(1, 40)
            val start = link.earliest(from, duration)
            val range = start until start + duration
            fun free(at: Long) = taken.none { it.first < at + duration && at <= it.last }
            assertEquals((from..Long.MAX_VALUE).first { free(it) }, start)
            assertTrue(start >= from)
            link.reserve(start, duration, now = 0)
            taken += range
        }
    }
}
