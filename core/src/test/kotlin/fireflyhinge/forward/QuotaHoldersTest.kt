package fireflyhinge.forward

import fireflyhinge.forward.QuotaFleetSimulation.Answer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class QuotaHoldersTest {
    private val bounds = QuotaBounds(windowMillis = 8_000, overage = 0.1, slackTokens = 120_000.0)

    private fun workspace(name: String, rate: Double) =
        ForwardWorkspace(name, WorkspaceLimit(rate, rate), defaultCost = 200, chargesTokens = true)

    private fun allowed(limit: WorkspaceLimit) = (limit.ratePerSecond * 8 + limit.burst) * 1.1 + bounds.slackTokens

    /**
     * Guards against more tokens in some window than a limit allows, summed over all VMs, while VMs die, start again,
     * lose power together, freeze and are partitioned in random order, and callers send three times the limit.
     */
    @Test
    fun noScheduleOfStartsKillsAndPartitionsExceedsTheLimit() {
        val seeds = (System.getProperty("quota.seeds") ?: "2").toInt()
        for (size in listOf(8, 68)) {
            val worst = (1..seeds).maxOf { seed -> playRandom(size, Random(seed)) }
            assertTrue(worst <= 1.0, "$size VMs: $worst of the bound")
        }
    }

    private fun playRandom(size: Int, random: Random): Double {
        val workspaces = listOf(workspace("a", 15_000.0), workspace("b", 100_000.0))
        val fleet = QuotaFleetSimulation(size, bounds, workspaces, random)
        val starts = ArrayList<Pair<Long, String>>()
        val firstStart = random.nextBoolean()
        fleet.names.forEach { starts += fleet.now + random.nextLong(3_000) to it }
        var first = true
        repeat(6_000) { step ->
            fleet.step()
            starts.filter { it.first <= fleet.now }.forEach { fleet.start(it.second, first && firstStart) }
            starts.removeAll { it.first <= fleet.now }
            if (step == 400) first = false
            if (step > 400 && random.nextInt(150) == 0) disturb(fleet, random, starts)
            workspaces.forEach { workspace ->
                // Three times the limit, over the VMs that are up.
                val requests = workspace.limit.ratePerSecond * 3 / 100 / 2_735
                repeat(requests.toInt() + if (random.nextDouble() < requests % 1) 1 else 0) {
                    val vm = fleet.up.values.randomOrNull(random) ?: return@repeat
                    fleet.charge(vm, workspace, if (random.nextBoolean()) 200.0 else 5_270.0, lossOneIn = 20)
                }
            }
        }
        return workspaces.maxOf { fleet.most(it).first / allowed(it.limit) }
    }

    private fun disturb(fleet: QuotaFleetSimulation, random: Random, starts: ArrayList<Pair<Long, String>>) {
        val names = fleet.up.keys.toList().ifEmpty { return }
        val dead =
            when (random.nextInt(8)) {
                0, 1 -> listOf(names.random(random))
                2 -> names.filter { random.nextBoolean() }
                3, 4 -> names
                5 -> emptyList<String>().also { fleet.partition(random.nextInt(1, 4)) }
                6 -> emptyList<String>().also { fleet.partition(1) }
                else -> emptyList<String>().also {
                    fleet.up.getValue(names.random(random)).frozenUntil = fleet.now + random.nextLong(10_000)
                }
            }
        dead.forEach { name ->
            fleet.kill(name)
            val pause = if (random.nextInt(4) == 0) 25_000L else 3_000L
            starts += fleet.now + 1_000 + random.nextLong(pause) to name
        }
    }

    /**
     * Load: all 68 VMs lose power, the first is up after 1.9 s and the others in the 3 s after that; 16 workspaces send
     * a quarter to nine tenths of their limits. Guards against refusals of callers within their limits, above all as
     * "over its rate", because the holders of shares are not up.
     */
    @Test
    fun callersWithinTheirLimitsAreServedAfterALossOfPower() {
        val before = (1..3).map { playPowerLoss(Random(it), fixed = true) }
        val after = (1..3).map { playPowerLoss(Random(it), fixed = false) }
        val text = "before $before, after $after"
        assertEquals(0, after.sumOf { it[Answer.OVER_LIMIT] ?: 0 }, text)
        // Measured: 0.10 to 0.19 before, 0.01 after.
        assertTrue(before.all { refused(it) > 0.08 }, text)
        assertTrue(after.all { refused(it) < 0.03 }, text)
    }

    private fun refused(answers: Map<Answer, Int>) =
        1 - (answers[Answer.GRANTED] ?: 0).toDouble() / answers.values.sum()

    /** Guards against "not now" for callers that are over their limit while all VMs are up and can be asked. */
    @Test
    fun callersOverTheirLimitAreToldSo() {
        val workspace = workspace("a", 20_000.0)
        val random = Random(1)
        val fleet = QuotaFleetSimulation(20, bounds, listOf(workspace), random)
        fleet.names.forEach { fleet.start(it) }
        repeat(1_000) { fleet.step() }
        val answers =
            (1..2_000).map {
                fleet.step()
                fleet.charge(fleet.up.values.random(random), workspace, 600.0)
            }
        val counts = answers.groupingBy { it }.eachCount()
        assertEquals(setOf(Answer.GRANTED, Answer.OVER_LIMIT), counts.keys, "$counts")
        assertTrue(counts.getValue(Answer.OVER_LIMIT) > 800, "$counts")
    }

    /** Guards against tokens that were stored under a limit and are spent after it was lowered. */
    @Test
    fun tokensOfAFormerLimitAreNotSpent() {
        val limits = 100_000.0 to 5_000.0
        listOf(
            "lowered" to listOf(limits.first, limits.second),
            "raised, then lowered" to listOf(limits.second, limits.first, limits.second),
            "lowered twice" to listOf(limits.first, limits.first / 2, limits.second),
            "removed, then added with a lower limit" to listOf(limits.first, null, limits.second),
            "without a limit for a while" to listOf(limits.first, 0.0, limits.second),
        ).forEach { (what, rates) ->
            listOf(true, false).forEach { firstStart ->
                val last = workspace("a", limits.second)
                val fleet = playLimits(rates, firstStart)
                repeat(700) {
                    fleet.step()
                    fleet.up.values.forEach { vm -> fleet.charge(vm, last, 5_070.0) }
                }
                val most = fleet.most(last).first
                val text = "$what, first start $firstStart: $most of ${allowed(last.limit)}"
                assertTrue(most <= allowed(last.limit), text)
                assertTrue(most >= limits.second * 7, text)
            }
        }
    }

    /** A fleet without requests in which each of [rates] was in force for 15 s; null stands for no such workspace. */
    private fun playLimits(rates: List<Double?>, firstStart: Boolean): QuotaFleetSimulation {
        val fleet = QuotaFleetSimulation(8, bounds, emptyList(), Random(1))
        fleet.names.forEach { fleet.start(it, firstStart) }
        for (rate in rates) {
            fleet.workspaces = listOfNotNull(rate?.let { workspace("a", it) })
            repeat(1_500) { fleet.step() }
        }
        return fleet
    }

    /** Guards against substitutes that begin with the tokens that the holders before them have spent. */
    @Test
    fun substitutesOfTheFirstStartDoNotBeginWithFullShares() {
        val workspace = workspace("a", 100_000.0)
        val fleet = QuotaFleetSimulation(16, bounds, listOf(workspace), Random(1))
        fleet.names.forEach { fleet.start(it, firstStart = true) }
        repeat(2_000) { fleet.step() }
        val spend = {
            fleet.step()
            fleet.up.values.forEach { vm -> repeat(2) { fleet.charge(vm, workspace, 5_270.0) } }
        }
        repeat(50) { spend() }
        fleet.up.values.first().fleet.quotaHolders("a").forEach { fleet.kill(it) }
        repeat(750) { spend() }
        val most = fleet.most(workspace).first
        assertTrue(most <= allowed(workspace.limit), "$most of ${allowed(workspace.limit)}")
        assertTrue(most >= workspace.limit.ratePerSecond * 8 * 0.8, "only $most")
    }

    /** Guards against shares that are lost for good with a VM that does not come back. */
    @Test
    fun sharesOfVmsThatAreDownAreHeldByOthers() {
        val workspace = workspace("a", 20_000.0)
        val random = Random(3)
        val fleet = QuotaFleetSimulation(20, bounds, listOf(workspace), random)
        fleet.names.forEach { fleet.start(it) }
        repeat(100) { fleet.step() }
        fleet.names.shuffled(random).take(10).forEach { fleet.kill(it) }
        repeat(1_500) { fleet.step() }
        val parts = fleet.up.values.map { it.holders.part("a") }
        assertEquals(1.0, parts.sum(), "$parts")
    }

    private fun playPowerLoss(random: Random, fixed: Boolean): Map<Answer, Int> {
        val workspaces = (0 until 16).map { workspace("w$it", 13_600 / (0.25 + 0.65 * it / 15)) }
        val fleet = QuotaFleetSimulation(68, bounds, workspaces, random, fixed)
        fleet.names.forEach { fleet.start(it) }
        repeat(2_000) { fleet.step() }
        fleet.names.forEach { fleet.kill(it) }
        val starts = fleet.names.shuffled(random).mapIndexed { n, name -> fleet.now + 1_900 + n * 44 to name }
        val answers = HashMap<Answer, Int>()
        val waiting = ArrayList<Triple<Long, QuotaFleetSimulation.Vm, Pair<ForwardWorkspace, Double>>>()
        repeat(490) {
            fleet.step()
            starts.filter { it.first <= fleet.now }.forEach { fleet.start(it.second) }
            val vms = fleet.up.values.toList().ifEmpty { return@repeat }
            val due = waiting.filter { it.first <= fleet.now }
            waiting.removeAll(due)
            due.forEach { (_, vm, request) ->
                answers.merge(fleet.charge(vm, request.first, request.second), 1, Int::plus)
            }
            workspaces.forEach { workspace ->
                listOf(5_270.0 to 36.0, 200.0 to 140.0).forEach { (tokens, perSecond) ->
                    if (random.nextDouble() < perSecond / workspaces.size / 100) {
                        val vm = vms.random(random)
                        val answer = fleet.charge(vm, workspace, tokens)
                        if (answer == Answer.GRANTED) {
                            answers.merge(answer, 1, Int::plus)
                        } else {
                            waiting += Triple(fleet.now + 80, vm, workspace to tokens)
                        }
                    }
                }
            }
        }
        return answers
    }
}
