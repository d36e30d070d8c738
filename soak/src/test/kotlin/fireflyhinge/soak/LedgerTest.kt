package fireflyhinge.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LedgerTest {
    private var now = 0L
    private val violations = Violations(seed = 1, clock = { now }, print = {})
    private val keys = Keys { now }
    private val calm = Calm { now }
    private val ledger =
        Ledger(violations, keys, calm, LossRule(Troubles { now }), CrashRule({ now }, calm, violations))

    private class Case(val what: String, val rules: List<String>, val play: LedgerTest.() -> Unit)

    private fun sent(kind: CallKind, key: String = Keys.LASTING) =
        ledger.sent(Sent(ID, kind, key, gateway = 0, at = now))

    private fun began(path: String = "/order/x", body: String = BODY, workspace: String = "museum", id: String = ID) =
        ledger.began(id, path, body, workspace)

    private fun ran(kind: CallKind, status: Int = 200, wrong: Mischief = Mischief.NONE) {
        sent(kind)
        began(kind.path)
        ledger.answered(ID, STAMP, status, wrong)
    }

    private fun got(body: String, status: Int = 200, stamp: String? = STAMP, id: String = ID, whole: Boolean = true) {
        val headers = mapOf("x-request-id" to id) + listOfNotNull(stamp?.let { "x-server-stamp" to it })
        ledger.received(ID, Reply(status, headers, body, whole))
    }

    private fun events(numbers: Iterable<Int>, id: String = ID) = numbers.joinToString("") { Expected.event(id, it) }

    private fun withdraw(troubleAt: Long? = null) {
        val key = keys.current
        keys.withdrawn(key)
        troubleAt?.let {
            now = it
            calm.begin(0)
            calm.end(0)
        }
        now = 8_000
        sent(CallKind.ORDER, key)
        began()
    }

    private fun sound(answer: String, last: Int) =
        listOf(
            Case("own and whole", listOf()) { ran(CallKind.ORDER).also { got(answer) } },
            Case("whole stream", listOf()) { ran(CallKind.ONCE).also { got(events(1..last)) } },
            Case("visibly broken", listOf()) { ran(CallKind.ORDER).also { got(answer.dropLast(1), whole = false) } },
            Case("a replica's failure", listOf()) { ran(CallKind.ORDER, 500).also { got("x", 500) } },
            Case("the gateway's failure", listOf()) { ran(CallKind.ORDER).also { got("", 502, stamp = null) } },
            Case("repeated and allowed", listOf()) { ran(CallKind.PLAIN).also { began("/plain/x") } },
        )

    private fun runs() =
        listOf(
            Case("runs twice", listOf("twice")) { ran(CallKind.ORDER).also { began() } },
            Case("stream runs twice", listOf("twice")) { ran(CallKind.ONCE).also { began("/once/x") } },
            Case("nobody asked", listOf("unasked")) { began(id = "other") },
            Case("another path", listOf("unasked")) { sent(CallKind.ORDER).also { began("/order/y") } },
            Case("another body", listOf("unasked")) { sent(CallKind.ORDER).also { began(body = "${BODY}x") } },
            Case("another workspace", listOf("unasked")) { sent(CallKind.ORDER).also { began(workspace = "zoo") } },
            Case("runs with a withdrawn key", listOf("key")) { withdraw() },
            Case("not in touch", listOf()) { withdraw(troubleAt = 6_000) },
        )

    private fun answers(answer: String) =
        listOf(
            Case("denied", listOf("denied")) { sent(CallKind.ORDER).also { got("", 401, stamp = null) } },
            Case("another id", listOf("mixed")) { ran(CallKind.ORDER).also { got(answer, id = "other") } },
            Case("no stamp", listOf("mixed", "mixed")) { ran(CallKind.ORDER).also { got(answer, stamp = null) } },
            Case("a failure as success", listOf("mixed")) { ran(CallKind.ORDER, 500).also { got(answer) } },
            Case("a success as failure", listOf("mixed")) { ran(CallKind.ORDER).also { got("", 500) } },
            Case("another body", listOf("mixed")) { ran(CallKind.ORDER).also { got("x$answer") } },
            Case("more than the body", listOf("mixed")) { ran(CallKind.ORDER).also { got(answer + "x") } },
            Case("part looks whole", listOf("early")) { ran(CallKind.ORDER).also { got(answer.dropLast(1)) } },
            Case("endless looks whole", listOf("early")) {
                ran(CallKind.PLAIN, wrong = Mischief.BODY_WITHOUT_END).also { got(answer) }
            },
            Case("answer to nothing", listOf("mixed")) { ledger.unasked(ID, "HTTP/1.1 200 OK\r\n") },
        )

    private fun streams(last: Int) =
        listOf(
            Case("stream ends early", listOf("early")) { ran(CallKind.ONCE).also { got(events(1 until last)) } },
            Case("event is missing", listOf("order")) { ran(CallKind.ONCE).also { got(events((1..last) - 2)) } },
            Case("event comes twice", listOf("order")) {
                ran(CallKind.ONCE).also { got(events(listOf(1, 2) + (2..last)), whole = false) }
            },
            Case("two streams joined", listOf("order")) {
                ran(CallKind.ONCE).also { got(events(1..1) + events(2..last, "b")) }
            },
        )

    private fun refusals() =
        Ledger.REFUSALS.flatMap { status ->
            listOf(
                Case("$status without a run", listOf()) { sent(CallKind.ORDER).also { got("", status, null) } },
                Case("$status after a run", listOf("refused")) { ran(CallKind.ORDER).also { got("", status, null) } },
                Case("runs after $status", listOf("refused")) {
                    sent(CallKind.ORDER)
                    got("", status, null)
                    began()
                },
            )
        }

    /** Runs [count] deadly requests a second apart, the last [late] after the time of contact. */
    private fun crash(count: Int, late: Int, troubled: Boolean = false) =
        repeat(count) { number ->
            now += if (number == count - late) Ledger.CONTACT_MILLIS + 1 else 1_000
            if (troubled) calm.begin(0)
            val id = "deadly-$number"
            ledger.sent(Sent(id, CallKind.ONCE, Keys.LASTING, gateway = 0, at = now, deadly = true))
            began("/once/x", Expected.requestBody(id), id = id)
        }

    private fun crashes() =
        listOf(
            Case("three deadly requests after the bound", listOf()) { crash(count = 8, late = 3) },
            Case("four deadly requests after the bound", listOf("deadly")) { crash(count = 9, late = 4) },
            Case("deadly requests before the bound", listOf()) { crash(count = 7, late = 0) },
            Case("deadly requests while not in touch", listOf()) { crash(count = 9, late = 4, troubled = true) },
            Case("a sound request refused for crashes", listOf("blamed")) {
                sent(CallKind.ONCE).also { got("""{"code":"FH-3005"}""", 503, stamp = null) }
            },
        )

    private fun unsound(answer: String) =
        Mischief.entries.filterNot { it.sound }.map { wrong ->
            Case("$wrong as success", listOf("mixed")) { ran(CallKind.ORDER, wrong = wrong).also { got(answer) } }
        }

    /** Guards against checks that cannot fail, and against sound runs that fail one. */
    @Test
    fun eachPlantedViolationIsReported() {
        val answer = Expected.answerBody(ID, STAMP)
        val last = Expected.events(ID)
        val cases = sound(answer, last) + runs() + answers(answer) + streams(last) + refusals() + crashes() +
            unsound(answer)
        cases.forEach { case ->
            val fresh = LedgerTest()
            case.play(fresh)
            assertEquals(case.rules, fresh.violations.all.map { it.split(' ')[1] }, case.what)
        }
    }

    private companion object {
        const val ID = "id-1"
        const val STAMP = "shop-1.7"
        val BODY = Expected.requestBody(ID)
    }
}
