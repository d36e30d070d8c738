package fireflyhinge.forward

import kotlin.random.Random

/** Provides the selection policy for the size of the fleet. [onChange] is called with each change. Thread-safe. */
class FleetSizePolicies(
    private val fleet: FleetView,
    random: Random = Random.Default,
    private val onChange: (even: Boolean) -> Unit = {},
) : () -> SelectionPolicy {
    private val least = LeastLoadPolicy(random)
    private val even = EvenLoadPolicy(random)
    private var large = false

    override fun invoke(): SelectionPolicy {
        val now = fleet.exchangeIntervalFactor > 1
        if (record(now)) onChange(now)
        return if (now) even else least
    }

    @Synchronized
    private fun record(now: Boolean): Boolean = (now != large).also { large = now }
}
