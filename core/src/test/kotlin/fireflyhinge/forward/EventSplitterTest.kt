package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EventSplitterTest {
    private class Case(val what: String, val text: String, val numbers: List<Long?>, val partial: Boolean)

    private val cases =
        listOf(
            Case("two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", listOf(1, 2), partial = false),
            Case("carriage returns", "id:7\r\ndata: a\r\n\r\n", listOf(7), partial = false),
            Case("an event without id", "data: a\n\n", listOf(null), partial = false),
            Case("a stop inside an event", "id: 1\ndata: a\n\nid: 2\nda", listOf(1), partial = true),
            Case("a stop before the empty line", "id: 1\ndata: a\n", emptyList(), partial = true),
            Case("empty lines between events", "id: 1\n\n\n\nid: 2\n\n", listOf(1, 2), partial = false),
            Case("data that looks like an id", "data: id: 9\nid: 3\n\n", listOf(3), partial = false),
            Case("a long line", "id: 4\ndata: ${"x".repeat(500)}\n\n", listOf(4), partial = false),
        )

    /** Guards against forwarding incomplete events, for any chunking of the input. */
    @Test
    fun onlyWholeEventsComeOut() {
        cases.forEach { case ->
            listOf(1, 3, 1_000).forEach { size ->
                val splitter = EventSplitter()
                val events = case.text.toByteArray().toList().chunked(size).flatMap { splitter.add(it.toByteArray()) }
                assertEquals(case.numbers, events.map { it.number }, "${case.what}, pieces of $size")
                assertEquals(case.partial, splitter.partial, "${case.what}, pieces of $size")
            }
        }
    }

    /** Guards against duplicate events when a stream resumes at another replica. */
    @Test
    fun eventsThatTheCallerHasAreNotAccepted() {
        val order = EventSequence(lastEvent = 3)
        val taken = listOf(2L, 3L, 4L, 4L, 6L, 5L, null).filter { order.accept(StreamEvent(it, ByteArray(0))) }
        assertEquals(listOf(4L, 6L, null), taken)
        assertEquals(6, order.lastNumber)
    }
}
