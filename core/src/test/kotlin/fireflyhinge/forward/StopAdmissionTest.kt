package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StopAdmissionTest {
    private fun route(kind: CallKind, resumable: Boolean = false) =
        ForwardRoute(
            name = "r",
            host = "h",
            pathPrefix = "/",
            kind = kind,
            targets = emptyList(),
            timeoutMillis = 14_000,
            objectiveMillis = 900,
            resumable = resumable,
        )

    private class Case(
        val what: String,
        val admitted: Boolean,
        val kind: CallKind,
        val leftMillis: Long,
        val took: List<Long> = emptyList(),
        val limitMillis: Long = 14_000,
        val resumable: Boolean = false,
    )

    /** Nine requests in ten take 3 s, one takes 9 s. */
    private val mixed = List(30) { if (it % 10 == 0) 9_000L else 3_000L }

    /** One request that is slower than the others by a millisecond, among [count]. */
    private fun oneSlow(count: Int = 30) = List(count) { if (it == 4) 101L else 100L }

    /** Guards against requests that are cut off at the end of a stop, and against refusing those that would fit. */
    @Test
    fun requestIsTakenIfItIsLikelyToEndInTime() {
        listOf(
            Case("as long as the others", true, CallKind.STREAM, 3_000, mixed, resumable = true),
            Case("shorter than the others", false, CallKind.STREAM, 2_999, mixed, resumable = true),
            Case("not repeatable, one took longer", false, CallKind.STREAM, 8_999, mixed),
            Case("not repeatable, none took longer", true, CallKind.STREAM, 9_000, mixed),
            Case("an order", true, CallKind.NON_IDEMPOTENT, 100, List(30) { 100L }),
            Case("an order with a slow one before", false, CallKind.NON_IDEMPOTENT, 100, oneSlow()),
            Case("a read with a slow one before", true, CallKind.IDEMPOTENT, 100, oneSlow()),
            Case("a slow one long ago", true, CallKind.NON_IDEMPOTENT, 100, oneSlow(90)),
            Case("a caller that waits no longer", true, CallKind.STREAM, 1_000, mixed, limitMillis = 1_000),
            Case("nothing known, much time", true, CallKind.STREAM, 3_600),
            Case("nothing known, little time", false, CallKind.STREAM, 3_599),
            Case("no time", false, CallKind.IDEMPOTENT, 0, List(5) { 10L }),
        ).forEach { case ->
            val admission = StopAdmission()
            val route = route(case.kind, case.resumable)
            case.took.forEach { admission.recordEnd(route, it) }
            assertEquals(case.admitted, admission.admits(route, case.limitMillis, case.leftMillis), case.what)
        }
    }

    /** Guards against unbounded memory as configurations rename routes. */
    @Test
    fun routesAreBounded() {
        val admission = StopAdmission()
        val renamed = (0..3_000).map { route(CallKind.IDEMPOTENT).copy(name = "r$it") }
        renamed.forEach { admission.recordEnd(it, 10) }
        assertEquals(false, admission.admits(renamed.first(), 14_000, 100), "forgotten")
        assertEquals(true, admission.admits(renamed.last(), 14_000, 100), "known")
    }
}
