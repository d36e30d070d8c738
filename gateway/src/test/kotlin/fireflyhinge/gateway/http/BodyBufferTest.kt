package fireflyhinge.gateway.http

import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class BodyBufferTest {
    /** Guards against a body that is changed where it is split into blocks. */
    @Test
    fun bodyIsWhatWasAdded() {
        val random = Random(7)
        val buffer = BodyBuffer()
        repeat(200) {
            val pieces = List(random.nextInt(40)) { random.nextBytes(random.nextInt(if (it % 5 == 0) 40_000 else 300)) }
            pieces.forEach(buffer::add)
            assertEquals(pieces.sumOf { it.size }, buffer.size)
            assertArrayEquals(pieces.fold(ByteArray(0), ByteArray::plus), buffer.toByteArray())
            buffer.clear()
        }
    }
}
