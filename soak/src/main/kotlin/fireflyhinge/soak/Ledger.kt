package fireflyhinge.soak

import java.util.concurrent.ConcurrentHashMap

/** Compares what callers sent and got with what replicas ran and answered, while both go on. */
internal class Ledger(
    val violations: Violations,
    private val keys: Keys,
    private val calm: Calm,
    private val losses: LossRule,
    private val crashes: CrashRule? = null,
) {
    private class Answered(val status: Int, val kind: Mischief)

    private class Entry(val sent: Sent) {
        var runs = 0
        var refusedWith: Int? = null
        val answers = HashMap<String, Answered>()
        val replicas = LinkedHashSet<String>()
        var crossed: Unanswered? = null

        /** Notes a refusal with [status] and returns how often the request had run. */
        @Synchronized
        fun refuse(status: Int): Int {
            refusedWith = status
            return runs
        }

        fun loss(end: Unanswered): String {
            val how = if (end.silent) "silent" else "closed"
            val where = "kind=${sent.kind} gateway=${sent.gateway} idle=${sent.idle} sent=${sent.at}"
            val answer = "part=${end.part} replicas=$replicas answers=${answers.mapValues { it.value.kind }}"
            return "$how after ${end.waited} ms $where $answer"
        }
    }

    private val entries = ConcurrentHashMap<String, Entry>()

    /** A caller is about to send a request. */
    fun sent(request: Sent) {
        entries[request.id] = Entry(request)
    }

    /** A request reaches [replica], which has yet to read, run or reject it. */
    fun reached(id: String, replica: String) {
        val entry = entries[id] ?: return
        synchronized(entry) {
            entry.replicas += replica
            entry.crossed?.let { violations.add("lost", id, entry.loss(it)) }
            entry.crossed = null
        }
    }

    /** The caller of request [id] stopped waiting for the rest of its answer. */
    fun unanswered(id: String, end: Unanswered): LossRule.Verdict {
        val entry = entries.getValue(id)
        return synchronized(entry) {
            val verdict = losses.judge(entry.sent, end, entry.replicas, entry.answers.values.map { it.kind })
            if (verdict == LossRule.Verdict.CROSSED) entry.crossed = end
            if (verdict == LossRule.Verdict.LOST) violations.add("lost", id, entry.loss(end))
            verdict
        }
    }

    /** A replica begins to run a request. */
    fun began(id: String, path: String, body: String, workspace: String?) {
        val entry = entries[id] ?: return violations.add("unasked", id, "no caller sent this id")
        val sent = entry.sent
        val same = path == sent.kind.path && body == Expected.requestBody(id) && workspace == WORKSPACE
        if (!same) violations.add("unasked", id, "path=$path workspace=$workspace body=${body.take(SHOWN)}")
        val runs = synchronized(entry) { ++entry.runs }
        if (sent.kind.once && runs > 1) violations.add("twice", id, "runs=$runs kind=${sent.kind}")
        synchronized(entry) { entry.refusedWith }?.let {
            violations.add("refused", id, "runs after status $it kind=${sent.kind}")
        }
        if (sent.deadly) crashes?.ran(sent)
        if (mustBeDenied(sent)) violations.add("key", id, "runs with withdrawn ${sent.key} at gateway ${sent.gateway}")
    }

    /** Whether the key of [sent] was withdrawn so early that a gateway in touch with the store must know it. */
    fun mustBeDenied(sent: Sent): Boolean {
        val bound = sent.at - CONFIG_APPLY_MILLIS
        return keys.isWithdrawn(sent.key, by = bound) && calm.since(sent.gateway, bound - CONTACT_MILLIS)
    }

    /** A replica is about to answer with [stamp] and [status], as [kind] says. */
    fun answered(id: String, stamp: String, status: Int, kind: Mischief) {
        val entry = entries[id] ?: return
        synchronized(entry) { entry.answers[stamp] = Answered(status, kind) }
    }

    /** A caller got an answer, whole or not. */
    fun received(id: String, reply: Reply) {
        val entry = entries.getValue(id)
        val runs = if (reply.status in REFUSALS) entry.refuse(reply.status) else 0
        if (runs > 0) violations.add("refused", id, "status=${reply.status} runs=$runs kind=${entry.sent.kind}")
        if (entry.sent.key == Keys.LASTING && reply.status in DENIALS) {
            violations.add("denied", id, "status=${reply.status} for a proper request")
        }
        val blamed = !entry.sent.deadly && SUSPECTED in reply.body
        if (blamed) violations.add("blamed", id, "refused for crashes that it did not cause")
        origin(entry, reply)
    }

    /** [bytes] came to the caller before it sent request [id]. */
    fun unasked(id: String, bytes: String) {
        if (bytes.startsWith("HTTP/1.1 2")) violations.add("mixed", id, "an answer came before the request")
    }

    private fun origin(entry: Entry, reply: Reply) {
        val id = entry.sent.id
        val echoed = reply.headers["x-request-id"]
        if (echoed != null && echoed != id) violations.add("mixed", id, "the answer names request $echoed")
        val stamp = reply.headers["x-server-stamp"]
        val answer = stamp?.let { synchronized(entry) { entry.answers[it] } }
        val own = answer?.status == reply.status
        when {
            reply.status in SUCCESS && !(own && answer?.kind?.sound == true) ->
                violations.add("mixed", id, "no sound answer: replica sent ${answer?.kind} headers=${reply.headers}")
            stamp != null && !own ->
                violations.add("mixed", id, "status=${reply.status} stamp=$stamp replica's status=${answer?.status}")
        }
        val endless = answer?.kind == Mischief.BODY_WITHOUT_END
        if (endless && reply.whole) violations.add("early", id, "looks whole, and its replica never ended it")
        if (reply.status in SUCCESS && !endless) body(entry.sent, stamp.orEmpty(), reply)
    }

    private fun body(sent: Sent, stamp: String, reply: Reply) {
        val id = sent.id
        val full =
            if (sent.kind.stream) {
                (1..Expected.events(id)).joinToString("") { Expected.event(id, it) }
            } else {
                Expected.answerBody(id, stamp)
            }
        when {
            !full.startsWith(reply.body) -> {
                val at = full.commonPrefixWith(reply.body).length
                val rule = if (sent.kind.stream) "order" else "mixed"
                violations.add(rule, id, "kind=${sent.kind} differs at byte $at: ${reply.body.drop(at).take(SHOWN)}")
            }
            reply.whole && reply.body.length < full.length -> {
                val shown = "bytes=${reply.body.length} of ${full.length}"
                violations.add("early", id, "kind=${sent.kind} looks whole with $shown headers=${reply.headers}")
            }
        }
    }

    companion object {
        /** Name of the only workspace. */
        const val WORKSPACE = "museum"

        /** Statuses that promise that the request has not run and never will. */
        val REFUSALS = setOf(408, 421, 429, 503)
        private val DENIALS = setOf(400, 401, 403, 404, 413, 431)
        private val SUCCESS = 200..299
        private const val SHOWN = 80

        /** Code of a refusal because such requests crash replicas. */
        private const val SUSPECTED = "FH-3005"

        /** Time to apply a configuration: `bounds.configApplyMs` of the settings. */
        const val CONFIG_APPLY_MILLIS = 3_000L

        /** Time without trouble after which bounds hold: `bounds.contactMs` of the settings. */
        const val CONTACT_MILLIS = 4_000L
    }
}
