package fireflyhinge.forward

import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Model requests of [VMS] VMs at decode replicas, in virtual time: usual load, a burst, usual load. [reserve] is how a
 * VM gets a slot. Requests that are refused return once. Variants with the same seed and load get the same requests.
 */
internal abstract class BurstSimulation(seed: Long, private val load: BurstLoad) {
    class Replica(val id: String) {
        var slots = 0
        var tokens = 0L

        fun reserve(request: Request): Boolean {
            if (slots >= SLOTS || tokens + request.tokens > MEMORY_TOKENS) return false
            slots++
            tokens += request.tokens
            return true
        }

        fun release(request: Request) {
            slots--
            tokens -= request.tokens
        }
    }

    class Request(val vm: Int, val workspace: Int, val tokens: Int, val holdMillis: Long, val firstSent: Long) {
        var sent = firstSent
        var returned = false
        var firstEvent: Long? = null
    }

    /** What a VM knows of the replicas: the tokens at an earlier time, and which ones refused a reservation lately. */
    inner class View {
        val tokens = HashMap<String, Long>()
        val fullUntil = HashMap<String, Long>()

        fun best(request: Request): Replica? =
            replicas
                .filter { (fullUntil[it.id] ?: 0) <= now }
                .filter { known(it) + request.tokens <= MEMORY_TOKENS * USABLE_MEMORY }
                .minByOrNull { known(it).toDouble() / MEMORY_TOKENS + random.nextDouble() * JITTER }

        private fun known(replica: Replica) = tokens[replica.id] ?: 0
    }

    private class Event(val at: Long, val number: Long, val run: () -> Unit)

    protected val random = Random(seed + 1)
    protected var now = 0L
        private set
    protected val replicas = List(REPLICAS) { Replica("r$it") }
    protected val views = List(VMS) { View() }
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private var number = 0L
    private val requests = load.requests(Random(seed))

    /** Calls of VMs to replicas that reserve a slot, and messages between VMs. */
    var reservations = 0
        private set
    var messages = 0
        protected set

    protected fun after(millis: Long, run: () -> Unit) {
        events += Event(now + millis, number++, run)
    }

    /** Gets a slot for [request] and calls [granted], or calls [refused] with the time after which it may return. */
    protected abstract fun reserve(request: Request)

    /** Tells that a run of VM [vm] ended at [replica]. */
    protected open fun released(vm: Int, replica: Replica) = Unit

    /** Asks [replica] for a slot for [request] and passes the answer to [then]. */
    protected fun ask(replica: Replica, request: Request, then: (Boolean) -> Unit) {
        reservations++
        after(PATH_MILLIS) {
            val ok = replica.reserve(request)
            after(PATH_MILLIS) {
                if (!ok) views[request.vm].fullUntil[replica.id] = now + FULL_MILLIS
                then(ok)
            }
        }
    }

    protected fun granted(request: Request, replica: Replica) {
        check(request.firstEvent == null) { "a request was served twice" }
        request.firstEvent = now + PREFILL_MILLIS
        val view = views[request.vm].tokens
        view.merge(replica.id, request.tokens.toLong(), Long::plus)
        after(request.holdMillis) {
            replica.release(request)
            view.merge(replica.id, -request.tokens.toLong(), Long::plus)
            released(request.vm, replica)
        }
    }

    protected fun refused(request: Request, retryAfterMillis: Long) {
        if (request.returned) return
        request.returned = true
        after(retryAfterMillis) {
            request.sent = now
            reserve(request)
        }
    }

    private fun run() {
        requests.forEach { after(it.firstSent) { reserve(it) } }
        repeat(VMS) { refresh(it) }
        while (true) {
            val event = events.poll() ?: return
            if (event.at > load.endMillis) return
            now = event.at
            event.run()
        }
    }

    private fun refresh(vm: Int) {
        replicas.forEach { views[vm].tokens[it.id] = it.tokens }
        after(random.nextLong(MIN_VIEW_MILLIS, MAX_VIEW_MILLIS)) { refresh(vm) }
    }

    /** Runs the simulation and returns the figures of the requests that were sent first in the burst. */
    fun result(): BurstResult {
        run()
        return BurstResult(requests.filter { load.inBurst(it.firstSent) }, reservations, messages)
    }

    companion object {
        const val VMS = 70
        const val REPLICAS = 16
        const val SLOTS = 12
        const val MEMORY_TOKENS = 72_605
        const val TARGET_MILLIS = 900L
        const val LEAVE_MILLIS = 3_600L

        /** One way from a VM to a replica or to another VM of its region. */
        const val PATH_MILLIS = 2L
        const val PREFILL_MILLIS = 150L
        const val FULL_MILLIS = 100L
        const val USABLE_MEMORY = 0.9
        const val JITTER = 0.1
        const val MIN_VIEW_MILLIS = 200L
        const val MAX_VIEW_MILLIS = 1_000L
    }
}
