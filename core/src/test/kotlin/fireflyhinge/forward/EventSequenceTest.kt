package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EventSequenceTest {
    private class Case(
        val what: String,
        val lastEvent: Long?,
        val first: List<Long?>,
        val second: List<Long?>,
        val gap: Boolean,
    )

    private val joins =
        listOf(
            Case("the next event", lastEvent = null, first = listOf(1, 2), second = listOf(3), gap = false),
            Case("an event left out", lastEvent = null, first = listOf(1, 2), second = listOf(4), gap = true),
            Case("events that came before", lastEvent = null, first = listOf(1, 2), second = listOf(1, 2), gap = false),
            Case("steps of ten", lastEvent = null, first = listOf(10, 20), second = listOf(30), gap = false),
            Case("an event without id", lastEvent = null, first = listOf(1, 2), second = listOf(null), gap = true),
            Case("after the caller's", lastEvent = 12, first = listOf(13), second = listOf(15), gap = true),
            Case("a high start", lastEvent = null, first = listOf(100, 101), second = listOf(103), gap = true),
            Case("one event, from zero", lastEvent = null, first = listOf(0), second = listOf(1), gap = false),
            Case("no event before", lastEvent = 12, first = emptyList(), second = listOf(15), gap = false),
        )

    /** Guards against a stream of two runs that looks complete although an event between them is missing. */
    @Test
    fun resumingRunMustFollowPreviousEvents() {
        joins.forEach { case ->
            val order = EventSequence(case.lastEvent)
            order.startRun()
            case.first.map(::event).forEach { if (!order.hasGapBefore(it)) order.accept(it) }
            order.startRun()
            assertEquals(case.gap, case.second.any { order.hasGapBefore(event(it)) }, case.what)
        }
    }

    /** Guards against aborting streams because one run skips numbers, which the platform allows. */
    @Test
    fun numbersWithinOneRunMayBeLeftOut() {
        val order = EventSequence(lastEvent = null)
        order.startRun()
        val numbers = listOf(1L, 3L, 9L)
        assertEquals(numbers, numbers.filter { !order.hasGapBefore(event(it)) && order.accept(event(it)) })
    }

    /** Guards against streams that are aborted, or cannot be resumed, because of a comment between events. */
    @Test
    fun commentsDoNotCountAsEvents() {
        val order = EventSequence(lastEvent = null)
        val runs = listOf(": ping\n\nid: 1\ndata: a\n\n", ": ping\n\nid: 2\ndata: b\n\n")
        val passed =
            runs.flatMap { run ->
                order.startRun()
                EventSplitter().add(run.toByteArray()).filter { !order.hasGapBefore(it) && order.accept(it) }
            }
        assertEquals(runs.joinToString(""), passed.joinToString("") { String(it.bytes) })
        assertTrue(order.allNumbered)
    }

    /** Guards against unnumbered events or other bytes in a numbered stream. */
    @Test
    fun unnumberedEventIsRejectedInNumberedStream() {
        val stream = "id: 1\ndata: a\n\n"
        val cases =
            mapOf(
                "data: b\n\n" to true,
                "failed\n\n" to true,
                "HTTP/1.1 503 S\r\nid: 2\ndata: b\n\n" to true,
                "{\"error\":\"failed\"}\nid: 2\n\n" to true,
                "id: 2\ndata\n\n" to false,
                "x-weight-versions: 3\nid: 2\ndata: b\n\n" to false,
                ": note\n\n" to false,
            )
        cases.forEach { (text, lacks) ->
            val order = EventSequence(lastEvent = null)
            order.startRun()
            val (first, second) = EventSplitter().add((stream + text).toByteArray())
            assertTrue(!order.lacksNumber(first) && order.accept(first))
            assertEquals(lacks, order.lacksNumber(second), text)
        }
    }

    private fun event(number: Long?) = StreamEvent(number, ByteArray(0))
}
