package fireflyhinge.forward

import kotlin.random.Random

/**
 * A fleet without a network: VMs that start, die, freeze and are partitioned at the test's command, and that gossip,
 * probe and lend as the gateway does. One step is [STEP_MILLIS].
 *
 * @param fixed the rules before [QuotaHolders]: the holders come from the list of VMs, whether or not they are up, and
 * each begins with three tenths of its depth.
 */
internal class QuotaFleetSimulation(
    size: Int,
    private val bounds: QuotaBounds,
    var workspaces: List<ForwardWorkspace>,
    private val random: Random,
    private val fixed: Boolean = false,
) {
    /** What became of a request. */
    enum class Answer { GRANTED, OVER_LIMIT, NOT_KNOWN }

    inner class Vm(val record: VmRecord, firstStart: Boolean) {
        val fleet = FleetView(record, clock)
        val down = DownVms(fleet)
        val holders = QuotaHolders(fleet, down, firstStart, clock, Random(random.nextLong()))
        val credit = QuotaStartCredit(fleet, down, Random(random.nextLong()))
        val shares =
            if (fixed) {
                QuotaShares(bounds, ::fixedPart, firstStart, clock, startCredit = { 0.0 })
            } else {
                QuotaShares(
                    bounds,
                    holders::part,
                    firstStart,
                    clock,
                    holders::partUntil,
                    credit::fraction,
                    { fleet.size },
                )
            }
        var frozenUntil = 0L
        val phase = random.nextInt(TICK_STEPS)
        var nextGossip = now + random.nextLong(GOSSIP_MILLIS)

        private fun fixedPart(name: String): Double {
            val held = fleet.quotaHolders(name)
            return if (record.name in held) 1.0 / held.size else 0.0
        }

        init {
            fleet.merge(entries.values)
            if (fixed && !firstStart) workspaces.forEach { shares.add(it, fixedPart(it.name) * depth(it) * 0.3) }
            holders.listed = true
            holders.listening()
        }
    }

    val clock = ManualClock()
    val granted = HashMap<String, ArrayList<Pair<Long, Double>>>()
    val up = LinkedHashMap<String, Vm>()
    private val groups = HashMap<String, Int>()
    private val entries = LinkedHashMap<String, VmRecord>()
    private var steps = 0
    val now: Long get() = clock.nanos() / 1_000_000
    val names: List<String> get() = entries.keys.toList()

    init {
        repeat(size) { register("v$it") }
    }

    private fun depth(workspace: ForwardWorkspace): Double {
        val limit = workspace.limit
        return limit.burst + (bounds.overage * limit.ratePerSecond * 8 + bounds.slackTokens) * 0.6
    }

    private fun record(name: String, startedAt: Long) = VmRecord(name, "$name:1", "$name:2", "north", startedAt)

    fun register(name: String) {
        entries[name] = record(name, 0)
    }

    fun start(name: String, firstStart: Boolean = false) {
        if (name in up) return
        val vm = Vm(record(name, now), firstStart)
        up[name] = vm
        if (!fixed) repeat(3) { probeStart(vm) }
    }

    fun kill(name: String) {
        up.remove(name)
    }

    /** Splits the fleet into [parts] groups of random sizes that cannot reach each other; 1 heals it. */
    fun partition(parts: Int) {
        groups.clear()
        if (parts > 1) names.forEach { groups[it] = random.nextInt(parts) * random.nextInt(2) }
    }

    private fun runs(vm: Vm) = up[vm.record.name] === vm && vm.frozenUntil <= now

    fun step() {
        clock.advance(STEP_MILLIS)
        steps++
        up.values.filter { runs(it) }.forEach { vm ->
            if (now >= vm.nextGossip) gossip(vm)
            if (!fixed && (steps + vm.phase) % TICK_STEPS == 0) tick(vm)
        }
    }

    private fun gossip(vm: Vm) {
        val pause = (GOSSIP_MILLIS * vm.fleet.exchangeIntervalFactor).toLong()
        vm.nextGossip = now + pause / 2 + random.nextLong(pause)
        vm.fleet.heartbeat(true)
        val partner = vm.fleet.all().drop(1).randomOrNull(random) ?: return
        call(vm, partner.name) { other ->
            other.fleet.merge(vm.fleet.all())
            vm.fleet.merge(other.fleet.all())
        }
    }

    /** Calls VM [name]; null if there is no answer. A refusal is recorded. */
    private fun <T> call(from: Vm, name: String, action: (Vm) -> T): T? {
        if (groups[from.record.name] != groups[name]) return null
        val to = up[name]
        if (to == null) {
            from.down.refused(name, now)
            return null
        }
        return if (runs(to)) action(to) else null
    }

    private fun tick(vm: Vm) {
        probeStart(vm)
        vm.holders.probes(workspaces.map { it.name }).forEach { target ->
            call(vm, target.name) { vm.down.accepted(target.name) }
        }
        vm.shares.refresh(workspaces)
        workspaces.forEach { repay(vm, it) }
    }

    /** A VM that cannot be reached counts as running. */
    private fun probeStart(vm: Vm) =
        vm.credit.probes().forEach { target ->
            val reached = groups[vm.record.name] == groups[target.name]
            vm.credit.probed(target.name, if (reached) target.name !in up else null, now)
        }

    private fun repay(vm: Vm, workspace: ForwardWorkspace) {
        val surplus = vm.shares.takeSurplus(workspace)
        if (surplus <= 0) return
        val to = vm.holders.lenders(workspace.name).take(8).randomOrNull(random) ?: return
        call(vm, to.name) { it.shares.add(workspace, surplus, returned = true) }
    }

    /** Charges a request at [vm], with loans of which one in [lossOneIn] is lost. */
    fun charge(vm: Vm, workspace: ForwardWorkspace, tokens: Double, lossOneIn: Int = Int.MAX_VALUE): Answer {
        if (!runs(vm)) return Answer.NOT_KNOWN
        var certain = true
        if (vm.shares.shortfall(workspace, tokens) > 0) certain = borrow(vm, workspace, tokens, lossOneIn)
        val taken = vm.shares.take(workspace, tokens)
        if (taken) granted.getOrPut(workspace.name) { ArrayList() } += now to tokens
        if (!taken || !fixed) repay(vm, workspace)
        return if (taken) Answer.GRANTED else if (certain || fixed) Answer.OVER_LIMIT else Answer.NOT_KNOWN
    }

    private fun borrow(vm: Vm, workspace: ForwardWorkspace, tokens: Double, lossOneIn: Int): Boolean {
        var wanted = vm.shares.borrowAmount(workspace, tokens)
        var answers = 0
        var young = vm.shares.young
        val count = if (fixed) 8 else vm.holders.lenderCount(workspace.name)
        val lenders =
            if (fixed) {
                vm.fleet.quotaHolders(workspace.name).shuffled(random)
            } else {
                vm.holders.lenders(workspace.name).map { it.name }
            }
        for (name in lenders) {
            if (wanted <= 0 || answers >= count) break
            val lent = call(vm, name) { other ->
                young = young || other.shares.young
                other.shares.lend(workspace, wanted)
            }
            if (lent == null && vm.down.downAt(name) == null) return false
            if (lent != null) {
                answers++
                wanted -= lent
                if (random.nextInt(lossOneIn) != 0) vm.shares.add(workspace, lent)
            }
        }
        return !young && answers >= count
    }

    /** The most tokens of [workspace] granted in any window, and the time of its end. */
    fun most(workspace: ForwardWorkspace): Pair<Double, Long> {
        val all = granted[workspace.name].orEmpty()
        var from = 0
        var sum = 0.0
        var most = 0.0 to 0L
        for ((time, tokens) in all) {
            sum += tokens
            while (all[from].first <= time - bounds.windowMillis) sum -= all[from++].second
            if (sum > most.first) most = sum to time
        }
        return most
    }

    companion object {
        const val STEP_MILLIS = 10L
        private const val TICK_STEPS = 10
        private const val GOSSIP_MILLIS = 300L
    }
}
