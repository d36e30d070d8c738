package fireflyhinge.soak

import java.util.concurrent.ConcurrentHashMap

/** Knows since when each gateway has been without trouble of its own or of the store. */
internal class Calm(private val clock: Clock) {
    private class State(val open: Int, val since: Long)

    private val states = ConcurrentHashMap<Int, State>()

    fun begin(gateway: Int) {
        states.compute(gateway) { _, state -> State((state?.open ?: 0) + 1, 0) }
    }

    fun end(gateway: Int) {
        states.compute(gateway) { _, state -> State((state?.open ?: 1) - 1, clock.millis()) }
    }

    /** Whether [gateway] has been calm since [moment], and still is. */
    fun since(gateway: Int, moment: Long): Boolean =
        states[gateway]?.let { it.open == 0 && it.since <= moment } ?: true
}
