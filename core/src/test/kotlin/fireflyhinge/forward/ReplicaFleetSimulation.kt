package fireflyhinge.forward

import java.util.ArrayDeque
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates VMs that send requests to the replicas of one service in steps of 1 ms, without a network. Each VM has its
 * own [ReplicaTable] and [ReplicaSelector]; a VM gets a report of each replica every 0.9 s, which is then 0.1 s old.
 * With `sharesPrefillRates` it also knows the rates that all VMs measured.
 */
internal class ReplicaFleetSimulation(
    private val scenario: Scenario,
    seed: Long,
    sharesPrefillRates: Boolean = false,
    private val policy: (Random) -> SelectionPolicy,
) {
    /**
     * Replicas of one service and the requests for them.
     *
     * @property domains failure domain of each replica.
     * @property ownReports whether a VM knows only the reports in the responses to its own requests.
     */
    class Scenario(
        val name: String,
        val stage: ReplicaStage,
        val domains: List<String>,
        val slots: Int,
        val demand: Demand,
        val ownReports: Boolean = false,
    )

    /**
     * @property workMillis mean work of a request at a replica of speed 1.
     * @property ratePerSecond requests of all VMs.
     * @property onTimeMillis target for the response.
     * @property spread whether the work of requests varies exponentially instead of by a quarter.
     */
    class Demand(
        val workMillis: Double,
        val ratePerSecond: Double,
        val onTimeMillis: Int,
        val spread: Boolean = false,
    )

    /** Figures of one run: [p99] in milliseconds, [evenness] as busiest/mean of work against capacity. */
    class Result(val p99: Int, val onTime: Double, val evenness: Double)

    private class Job(val vm: Vm, val sentAt: Int, val work: Double, val tokens: Int) {
        var left = work
    }

    private inner class Machine(index: Int) {
        val replica =
            Replica("r$index", "s", "r$index:1", scenario.domains[index], scenario.stage, scenario.slots)
        val speed = SPEEDS[index % SPEEDS.size]
        val running = ArrayList<Job>()
        val waiting = ArrayDeque<Job>()
        private var slow = random.nextDouble() < SLOW_SHARE
        private var until = (random.nextDouble() * SLOW_MILLIS).toInt()
        var served = 0.0
        val capacity get() = scenario.slots * speed

        fun pace(now: Int): Double {
            if (now >= until) {
                slow = !slow
                val mean = if (slow) SLOW_MILLIS else SLOW_MILLIS * (1 - SLOW_SHARE) / SLOW_SHARE
                until = now + if (slow) mean.toInt() else exponential(mean).toInt() + 1
            }
            return if (slow) SLOW_PACE else 1.0
        }

        fun report(now: Int) = ReplicaLoad(running.size, waiting.size, scenario.slots, (pace(now) * 100).toInt())

        fun step(now: Int) {
            val rate = speed / pace(now)
            val done = ArrayList<Job>()
            for (job in running) {
                job.left -= rate
                if (job.left <= 0) done += job
            }
            for (job in done) {
                running -= job
                served += job.work
                val back = oneWay(job.vm.domain, replica.failureDomain)
                val load = report(now)
                at(now + back) { job.vm.completed(this, job, load, it) }
            }
            while (waiting.isNotEmpty() && running.size < scenario.slots) running += waiting.poll()
        }

        fun accept(job: Job) {
            if (running.size < scenario.slots) running += job else waiting += job
        }
    }

    private inner class Vm(index: Int) {
        val domain = DOMAINS[index % DOMAINS.size]
        val table = ReplicaTable(clock, rates).also { it.replace(machines.map { machine -> machine.replica }) }
        private val own = policy(Random(random.nextLong()))
        private val selector = ReplicaSelector(table, FailureDomains(domain, REGIONS), { MEMORY }, policy = { own })
        val states = table.usable("s", scenario.stage).associateBy { it.replica.id }

        fun send(now: Int) {
            val near = if (scenario.stage == ReplicaStage.PREFILL) domain else null
            val state = checkNotNull(selector.select("s", scenario.stage, near = near))
            val machine = machines.first { it.replica.id == state.replica.id }
            val work = if (scenario.demand.spread) exponential(1.0) else 0.75 + random.nextDouble() / 2
            val tokens = if (scenario.stage == ReplicaStage.PLAIN) 0 else (work * MEAN_TOKENS).toInt() + 1
            val job = Job(this, now, work * scenario.demand.workMillis, tokens)
            state.requestStarted(tokens)
            at(now + oneWay(domain, machine.replica.failureDomain)) { machine.accept(job) }
        }

        fun completed(machine: Machine, job: Job, load: ReplicaLoad, now: Int) {
            val state = states.getValue(machine.replica.id)
            state.requestEnded(job.tokens)
            if (scenario.ownReports) state.recordLoad(load)
            if (scenario.stage == ReplicaStage.PREFILL) state.recordPrefill(job.tokens, (now - job.sentAt).toLong())
            if (scenario.stage == ReplicaStage.PLAIN) {
                val path = 2 * oneWay(domain, machine.replica.failureDomain)
                state.estimate.served((now - job.sentAt - path).toDouble())
            }
            onCompleted(state)
            state.recordResponse(success = true)
            if (now >= WARM_UP_MILLIS) latencies += now - job.sentAt
        }
    }

    /** Called with each response; an owner of all requests learns of their end from it. */
    var onCompleted: (ReplicaState) -> Unit = {}
    private val random = Random(seed)
    private val clock = ManualClock()
    private val rates = PrefillRates(clock, enabled = { sharesPrefillRates })
    private val events = PriorityQueue<Pair<Long, (Int) -> Unit>>(compareBy { it.first })
    private var sequence = 0L
    private val machines = List(scenario.domains.size) { Machine(it) }
    private val vms = List(VMS) { Vm(it) }
    private val latencies = ArrayList<Int>()

    private fun at(now: Int, action: (Int) -> Unit) {
        // The sequence number keeps the order of events of the same time.
        events += Pair((now.toLong() shl SEQUENCE_BITS) + sequence++ % (1L shl SEQUENCE_BITS), action)
    }

    private fun exponential(mean: Double) = -ln(1 - random.nextDouble()) * mean

    private fun oneWay(from: String, to: String): Int =
        when {
            from == to -> 0
            REGIONS[from] == REGIONS[to] -> 1
            else -> REGION_MILLIS
        }

    private fun arrive(now: Int) {
        vms[random.nextInt(vms.size)].send(now)
        nextArrival += exponential(1_000 / scenario.demand.ratePerSecond)
    }

    private var nextArrival = 0.0

    private fun report(vm: Vm, machine: Machine, now: Int) {
        val load = machine.report(now)
        at(now + REPORT_AGE_MILLIS) { vm.states.getValue(machine.replica.id).recordLoad(load) }
        at(now + REPORT_INTERVAL_MILLIS) { report(vm, machine, it) }
    }

    /** Sets the tokens of the other VMs, whose exchanges are [GOSSIP_MILLIS] apart. */
    private fun gossip() {
        val all = vms.map { it.table.tokens() }
        val sums = all.flatMap { it.entries }.groupingBy { it.key }.fold(0L) { sum, entry -> sum + entry.value }
        vms.forEachIndexed { index, vm ->
            val remote = sums.mapValues { (id, sum) -> sum - (all[index][id] ?: 0) }
            at(now + random.nextInt(GOSSIP_MILLIS, 2 * GOSSIP_MILLIS)) { vm.table.setRemoteTokens(remote) }
        }
    }

    private var now = 0

    fun run(millis: Int = RUN_MILLIS): Result {
        if (!scenario.ownReports) {
            for (vm in vms) {
                for (machine in machines) {
                    at(random.nextInt(REPORT_INTERVAL_MILLIS)) { report(vm, machine, it) }
                }
            }
        }
        while (now < millis) {
            while (nextArrival <= now) arrive(now)
            while (events.isNotEmpty() && events.peek().first shr SEQUENCE_BITS <= now) events.poll().second(now)
            machines.forEach { it.step(now) }
            if (now % GOSSIP_MILLIS == 0 && scenario.stage != ReplicaStage.PLAIN) gossip()
            if (now == WARM_UP_MILLIS) machines.forEach { it.served = 0.0 }
            now++
            clock.advance(1)
        }
        latencies.sort()
        val shares = machines.map { it.served / it.capacity }
        return Result(
            p99 = latencies[latencies.size * 99 / 100],
            onTime = latencies.count { it <= scenario.demand.onTimeMillis }.toDouble() / latencies.size,
            evenness = shares.max() / shares.average(),
        )
    }

    companion object {
        const val VMS = 70
        const val MEMORY = 50_000
        const val MEAN_TOKENS = 5_200
        const val RUN_MILLIS = 60_000
        const val WARM_UP_MILLIS = 5_000
        const val SEQUENCE_BITS = 32

        /** One way between two regions. */
        const val REGION_MILLIS = 30
        const val REPORT_AGE_MILLIS = 100
        const val REPORT_INTERVAL_MILLIS = 900
        const val GOSSIP_MILLIS = 1_750

        /** Each machine is slower for this share of the time, in phases of [SLOW_MILLIS]. */
        const val SLOW_SHARE = 0.15
        const val SLOW_MILLIS = 600.0
        const val SLOW_PACE = 2.5
        val SPEEDS = listOf(0.7, 0.7, 1.7)
        val DOMAINS = listOf("a", "b", "c", "d", "e", "f")
        val REGIONS = mapOf("a" to "r1", "b" to "r1", "c" to "r1", "d" to "r2", "e" to "r2", "f" to "r2")
    }
}
