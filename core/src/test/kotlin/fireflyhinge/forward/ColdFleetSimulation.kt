package fireflyhinge.forward

import kotlin.random.Random

/**
 * VMs that send to cold replicas whenever their budgets permit, on simulated time. They start, die, freeze and are
 * partitioned, also in one direction, and learn of each other only by random exchanges and a listing at their start.
 */
internal class ColdFleetSimulation(
    private val random: Random,
    vms: Int,
    private val bounds: ColdBounds,
    private val stepMillis: Long = 20,
) {
    /** [meanPerSecond] is the mean over replicas after the VMs have started. */
    data class Result(val busiestSecond: Int, val meanPerSecond: Double)

    private inner class Vm(val name: String, startedAt: Long) {
        val fleet = FleetView(VmRecord(name, "f", "c", "d", startedAt), clock)
        val budget = ColdBudget(name, bounds, clock)
        var frozenUntil = 0L
        var group = 0
        var deaf = false
        var nextUpdate = startedAt + random.nextLong(UPDATE_MILLIS)
        var nextExchange = startedAt + random.nextLong(EXCHANGE_MILLIS)
    }

    private val clock = ManualClock()

    /** About as many faults per VM in a small fleet as in a large one; a fault affects a VM for up to 40 s. */
    private val faultMillis = if (vms < SMALL_FLEET_VMS) 5 * FAULT_MILLIS else FAULT_MILLIS
    private var now = 0L
    private var created = 0
    private val running = ArrayList<Vm>()
    private val listed = LinkedHashMap<String, VmRecord>()
    private val sends = List(REPLICAS) { ArrayList<Long>() }
    private var healAt = Long.MAX_VALUE

    init {
        repeat(vms) { start("vm-${created++}") }
    }

    private fun start(name: String) {
        val vm = Vm(name, now)
        listed[name] = vm.fleet.self
        running += vm
        vm.fleet.merge(listed.values)
    }

    fun run(seconds: Int, faults: Boolean): Result {
        // All first VMs are listed before the first one reads the list.
        running.forEach { it.fleet.merge(listed.values) }
        while (now < seconds * 1_000L) {
            now += stepMillis
            clock.advance(stepMillis)
            if (faults && now % faultMillis == 0L) fault()
            running.filter { now >= it.frozenUntil }.shuffled(random).forEach(::step)
        }
        val busiest = sends.maxOf { times -> times.indices.maxOfOrNull { i -> countFrom(times, i) } ?: 0 }
        return Result(busiest, sends.sumOf { it.size } / REPLICAS.toDouble() / (seconds - START_MILLIS / 1_000))
    }

    private fun countFrom(times: List<Long>, first: Int): Int {
        var end = first
        while (end < times.size && times[end] <= times[first] + 1_000) end++
        return end - first
    }

    private fun step(vm: Vm) {
        // A VM that resumes may send before any of its periodic tasks runs.
        sends.forEachIndexed { replica, times -> if (vm.budget.tryAcquire("r$replica", PER_SECOND)) times += now }
        if (now >= vm.nextUpdate) {
            vm.nextUpdate = now + UPDATE_MILLIS
            vm.budget.update(vm.fleet.live().map { it.name })
        }
        if (now >= vm.nextExchange) {
            vm.nextExchange = now + (EXCHANGE_MILLIS * vm.fleet.exchangeIntervalFactor).toLong()
            vm.fleet.heartbeat(ready = true)
            repeat(EXCHANGES) { exchange(vm) }
        }
    }

    private fun exchange(vm: Vm) {
        val name = vm.fleet.all().drop(1).randomOrNull(random)?.name
        val other = running.find { it.name == name } ?: return
        if (now < other.frozenUntil || other.group != vm.group) return
        // A message in one direction may arrive although its response is lost.
        if (!other.deaf) other.fleet.merge(vm.fleet.all())
        if (!other.deaf && !vm.deaf) vm.fleet.merge(other.fleet.all())
    }

    private fun fault() {
        if (now >= healAt) {
            running.forEach { it.group = 0 }
            healAt = Long.MAX_VALUE
        }
        when (random.nextInt(FAULT_KINDS)) {
            0 -> replace(running.random(random))
            1 -> running.random(random).frozenUntil = now + random.nextLong(MAX_FREEZE_MILLIS)
            2 -> if (healAt == Long.MAX_VALUE) partition(groups = random.nextInt(2, 4))
            3 -> running.random(random).let { it.deaf = !it.deaf }
            4 -> start("vm-${created++}")
            else -> if (running.size > 2) running -= running.random(random)
        }
    }

    /** Kills [vm] and starts one of the same name, or one with a new name. */
    private fun replace(vm: Vm) {
        running -= vm
        start(if (random.nextBoolean()) vm.name else "vm-${created++}")
    }

    private fun partition(groups: Int) {
        running.forEach { it.group = random.nextInt(groups) }
        healAt = now + random.nextLong(MAX_PARTITION_MILLIS)
    }

    private companion object {
        const val REPLICAS = 4
        const val PER_SECOND = 19.0
        const val UPDATE_MILLIS = 250L
        const val EXCHANGE_MILLIS = 500L
        const val EXCHANGES = 2
        const val FAULT_MILLIS = 1_000L
        const val FAULT_KINDS = 6
        const val SMALL_FLEET_VMS = 20
        const val MAX_FREEZE_MILLIS = 40_000L
        const val MAX_PARTITION_MILLIS = 60_000L
        const val START_MILLIS = ColdBudget.HOLD_OFF_MILLIS
    }
}
