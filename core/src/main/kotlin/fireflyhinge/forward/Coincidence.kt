package fireflyhinge.forward

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.ln1p
import kotlin.math.pow

/** How likely a trait that does no harm is in all the crashes that speak against one, and in no sound response. */
internal object Coincidence {
    /** Shares of the requests that may have the trait. */
    private val SHARES = listOf(0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.99)

    /**
     * Upper bound of the probability, whatever share of the requests has the trait. [requests] has the number of
     * requests that had not begun to respond at each crash, [sound] is the number of sound responses without the trait.
     */
    fun probability(requests: List<Int>, sound: Int): Double =
        SHARES.maxOf { share ->
            val inCrashes = requests.sumOf { ln(1 - (1 - share).pow(maxOf(1, it))) }
            exp(inCrashes + sound * ln1p(-share))
        }
}
