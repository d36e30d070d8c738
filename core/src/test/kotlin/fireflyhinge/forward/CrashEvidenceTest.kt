package fireflyhinge.forward

import fireflyhinge.time.millis
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CrashEvidenceTest {
    private val clock = ManualClock()

    /** Three VMs that tell each other what they know. */
    private val vms = List(3) { CrashEvidence(clock) }

    private fun request(name: String, vararg parts: String) =
        RequestTraits("m", parts.map { Trait(Trait.Kind.PART, "m", it) }.toSet()) { name }

    private fun share() = repeat(2) { vms.forEach { from -> vms.forEach { it.merge(from.recent()) } } }

    /** A crash of [replica] with [requests], each of which came from another VM. */
    private fun crash(replica: String, requests: List<RequestTraits>) {
        val first = replica.hashCode().mod(vms.size)
        requests.forEachIndexed { index, each -> vms[(first + index) % vms.size].recordCrash(replica, listOf(each)) }
        share()
    }

    /** Enough responses to others to rule out a coincidence. */
    private fun soundOthers(count: Int = MANY) = repeat(count) { sound(request("o$it", "common")) }

    private fun sound(request: RequestTraits) {
        vms[request.whole.id.hashCode().mod(vms.size)].recordSound(request, clock.millis())
        share()
    }

    private fun pass(millis: Long) {
        clock.advance(millis)
    }

    /** Whether the VMs refuse [request]; they must agree. */
    private fun isRefused(request: RequestTraits): Boolean =
        vms.map { it.verdicts().match(request) != null }.distinct().single()

    /** What happens, and which of [asked] are refused after that. */
    private class Case(val what: String, val refused: Set<String>, val play: CrashEvidenceTest.() -> Unit)

    private val asked =
        mapOf(
            "common" to request("x1", "common"),
            "dead" to request("x2", "dead"),
            "common dead" to request("x3", "common", "dead"),
            "near" to request("x4", "near"),
            "near dead" to request("x5", "near", "dead"),
            "repeated" to request("repeated", "near"),
        )

    /** Plays crashes [millis] apart, each with its requests, and [others] responses to other requests after each. */
    private fun crashes(vararg each: List<RequestTraits>, millis: Long = 600, others: Int = MANY) =
        each.forEachIndexed { index, requests ->
            crash("r$index", requests)
            pass(millis)
            soundOthers(others)
        }

    private val cases =
        listOf(
            Case("a part of different requests, with another part each", setOf("dead", "common dead", "near dead")) {
                crashes(*Array(3) { listOf(request("d$it", "c$it", "dead")) })
            },
            Case("only two crashes", emptySet()) {
                crashes(*Array(2) { listOf(request("d$it", "dead")) })
            },
            Case("a part that sound requests share as well", setOf("dead", "common dead", "near dead")) {
                crashes(*Array(4) { listOf(request("d$it", "common", "dead")) })
            },
            Case("two parts that are always together", setOf("near dead")) {
                crashes(*Array(3) { listOf(request("d$it", "near", "dead")) })
            },
            Case("two parts, of which one crashes replicas alone as well", setOf("dead", "common dead", "near dead")) {
                crashes(*Array(5) { listOf(if (it < 3) request("d$it", "near", "dead") else request("d$it", "dead")) })
            },
            Case("sound requests beside those that crash", setOf("dead", "common dead", "near dead")) {
                val both = Array(3) { listOf(request("d$it", "dead"), request("n${it % 2}", "near")) }
                crashes(*both, listOf(request("d3", "dead")))
            },
            Case("requests that cannot be told apart so far", emptySet()) {
                crashes(*Array(3) { listOf(request("d$it", "dead"), request("n$it", "near")) })
            },
            Case("requests that cannot be told apart for long", asked.keys - "common") {
                crashes(*Array(5) { listOf(request("d$it", "dead"), request("n$it", "near")) })
            },
            Case("one request that is repeated", setOf("repeated")) {
                crashes(*Array(5) { listOf(request("repeated", "near")) })
            },
            Case("a sound request that is repeated beside", setOf("dead", "common dead", "near dead")) {
                crashes(*Array(3) { listOf(request("d$it", "dead"), request("repeated", "near")) })
            },
            Case("replicas that crash for other reasons", emptySet()) {
                crashes(*Array(9) { listOf(request("o$it", "p${it % 5}")) })
            },
            Case("replicas that crash together", emptySet()) {
                crashes(*Array(6) { listOf(request("d$it", "dead")) }, millis = 10)
            },
            Case("a part that many requests have, while few are served", emptySet()) {
                val beside = { crash: Int -> List(5) { request("b$crash-$it", "p$crash-$it") } }
                crashes(*Array(3) { beside(it) + request("n$it", "near") }, others = 2)
            },
            Case("no sound response of any request", emptySet()) {
                repeat(5) {
                    crash("r$it", listOf(request("d$it", "dead")))
                    pass(600)
                }
            },
            Case("sound responses between the crashes", emptySet()) {
                repeat(6) {
                    crashes(listOf(request("d$it", "dead")))
                    sound(request("s$it", "dead"))
                    pass(100)
                }
            },
        )

    /** Guards against refusing what all requests share, and what ran beside deadly requests or crashes without them. */
    @Test
    fun onlyTraitsThatExplainCrashesAreNamed() {
        val played =
            cases.map { case ->
                val run = CrashEvidenceTest()
                run.play(case)
                case.what to run.asked.filterValues(run::isRefused).keys
            }
        assertEquals(cases.map { it.what to it.refused }, played)
    }

    private fun play(case: Case) {
        pass(SETTLED_MILLIS)
        soundOthers()
        pass(SETTLED_MILLIS)
        case.play(this)
        pass(SETTLED_MILLIS)
    }

    private fun nameDead() = crashes(*Array(3) { listOf(request("d$it", "dead")) }).also { pass(SETTLED_MILLIS) }

    /** Guards against a verdict that never ends, and one that takes as many crashes to renew as to reach. */
    @Test
    fun verdictEndsByItselfAndIsRenewedByOneCrash() {
        nameDead()
        assertTrue(isRefused(request("x", "dead")))
        pass(HOLD_MILLIS)
        assertEquals(false, isRefused(request("x", "dead")))
        soundOthers()
        crash("later", listOf(request("d9", "dead")))
        assertTrue(isRefused(request("x", "dead")))
        sound(request("x", "dead"))
        assertEquals(false, isRefused(request("x", "dead")))
    }

    /** Guards against a VM that starts, or was cut off, and lets deadly requests through. */
    @Test
    fun vmThatKnewNothingLearnsVerdictFromOneReport() {
        nameDead()
        pass(HOLD_MILLIS / 2)
        val started = CrashEvidence(clock).also { it.merge(vms[0].recent()) }
        assertTrue(started.verdicts().match(request("x", "dead")) != null)
    }

    /** Guards against evidence that counts twice if several VMs report it, or that depends on the order of reports. */
    @Test
    fun repeatedReportsCountOnce() {
        val seen = listOf(request("d1", "dead"), request("d2", "dead"))
        repeat(2) { number ->
            vms.forEachIndexed { index, vm ->
                vm.recordCrash("r$number", seen + List(index) { request("o$index-$it", "other") })
            }
            repeat(3) { share() }
            pass(600)
            soundOthers()
        }
        pass(SETTLED_MILLIS)
        assertEquals(false, isRefused(request("x", "dead")))
        val reports = vms.map { it.recent() }
        val merged =
            listOf(reports, reports.reversed(), reports + reports).map { order ->
                CrashEvidence(clock).also { evidence -> order.forEach(evidence::merge) }.recent().traits.toSet()
            }
        assertEquals(1, merged.distinct().size)
    }

    /** Guards against memory and messages that grow with the number of parts, and a suspect that is lost among them. */
    @Test
    fun thousandsOfNewPartsNeitherGrowMemoryNorHideSuspect() {
        repeat(3) { crash ->
            vms[0].recordCrash("r$crash", listOf(request("d$crash", "dead")))
            repeat(40) { flood ->
                val parts = Array(60) { "p$crash-$flood-$it" }
                vms[0].recordCrash("f$crash-$flood", listOf(request("f$crash-$flood", *parts)))
                assertTrue(vms[0].recent().traits.size <= CrashEvidence.MAX_REPORTED)
            }
            // The second crash of a suspect comes before the others crowd it out.
            vms[0].recordCrash("s$crash", listOf(request("e$crash", "dead")))
            pass(600)
            repeat(MANY) { vms[0].recordSound(request("o$it", "common"), clock.millis()) }
        }
        pass(SETTLED_MILLIS)
        assertTrue(vms[0].size <= CrashEvidence.CAPACITY)
        assertTrue(vms[0].verdicts().match(request("x", "dead")) != null)
    }

    private companion object {
        const val MANY = 10

        /** Longer than the time after which a verdict takes effect. */
        const val SETTLED_MILLIS = 1_100L

        /** Longer than the time after which a verdict ends. */
        const val HOLD_MILLIS = 301_000L
    }
}
