package fireflyhinge.measure

import fireflyhinge.systemtest.Fleet

/**
 * One load run.
 *
 * @property load arrivals as a share of the decode capacity.
 * @property factors multiplies the arrivals of single workspaces; 0 leaves a workspace out.
 * @property fault brought about after a third of the run.
 * @property repair undoes the fault after the run.
 */
internal data class Scenario(
    val name: String,
    val load: Double,
    val factors: Map<String, Double> = emptyMap(),
    val fault: (Fleet) -> Unit = {},
    val repair: (Fleet) -> Unit = {},
) {
    companion object {
        /** Workspace that sends five times its rate in the `noisy` run and nothing in the `others-alone` run. */
        fun noisyWorkspace(profile: Profile): String = profile.traffic.maxBy { it.value.share }.key

        /** The runs of a measurement, in an order in which each finds a whole fleet. */
        fun all(profile: Profile): List<Scenario> {
            val noisy = noisyWorkspace(profile)
            return listOf(
                Scenario("load-60", load = 0.6),
                Scenario("load-90", load = 0.9),
                Scenario("load-120", load = 1.2),
                Scenario("others-alone", load = 0.9, factors = mapOf(noisy to 0.0)),
                Scenario("noisy", load = 0.9, factors = mapOf(noisy to NOISE)),
                storeDown(),
                Scenario("vm-killed", load = 0.9, fault = ::killVm, repair = { it.restart(victim(it)) }),
                Scenario("upstream-crashed", load = 0.9, fault = ::crashUpstream),
            )
        }

        private fun storeDown() =
            Scenario(
                name = "store-down",
                load = 0.9,
                fault = { it.control(it.store, "outage", mapOf("mode" to "refuse")) },
                repair = { it.control(it.store, "outage", mapOf("mode" to "off")) },
            )

        private fun killVm(fleet: Fleet) = fleet.daemons.getValue(victim(fleet)).kill()

        private fun victim(fleet: Fleet): String = fleet.spec.vms.first().id

        private fun crashUpstream(fleet: Fleet) = fleet.upstreams.entries.first { "decode" in it.key }.value.kill()

        private const val NOISE = 5.0
    }
}
