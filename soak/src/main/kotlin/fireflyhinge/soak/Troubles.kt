package fireflyhinge.soak

import java.util.concurrent.CopyOnWriteArrayList

/** When gateways and the links of replicas were impaired. */
internal class Troubles(private val clock: Clock) {
    private class Span(val name: String, val from: Long) {
        @Volatile
        var to = Long.MAX_VALUE
    }

    private val spans = CopyOnWriteArrayList<Span>()

    /** Runs [action], during which [name] is impaired from [delayMillis] after now on. */
    fun during(name: String, delayMillis: Long = 0, action: () -> Unit) {
        val span = Span(name, clock.millis() + delayMillis)
        spans += span
        try {
            action()
        } finally {
            span.to = clock.millis()
        }
    }

    /** Whether [name] was impaired at any moment from [from] to [to]. */
    fun overlap(name: String, from: Long, to: Long): Boolean =
        spans.any { it.name == name && it.from <= it.to && it.from <= to && it.to >= from }

    companion object {
        /** Gateway [index] does not run. */
        fun gateway(index: Int): String = "gateway-$index"

        /** Gateway [index] got SIGTERM and may close connections that carry no request. */
        fun stopping(index: Int): String = "stopping-$index"

        /** Gateway [index] has been stopped and owes no answers to later requests. */
        fun stopped(index: Int): String = "stopped-$index"
    }
}
