package fireflyhinge.quota

/** Checks that the charges used in any window of true time are at most [rate] * length + [burst]. */
internal class RateCheck(private val rate: Double, private val burst: Double) {
    private val uses = ArrayList<Pair<Long, Double>>()

    /** Number of uses. */
    val count: Int get() = uses.size

    /** Records that [tokens] were used at the true time [at] in nanoseconds. */
    fun use(at: Long, tokens: Double) {
        uses += at to tokens
    }

    /** Describes the first time at which a window exceeds the bound; null if none does. */
    fun violation(): String? {
        var level = 0.0
        var last = 0L
        uses.sortedBy { it.first }.forEach { (at, tokens) ->
            level = maxOf(0.0, level - rate * (at - last) / 1e9) + tokens
            last = at
            if (level > burst * (1 + 1e-9)) return "${at / 1_000_000} ms: ${level - burst} tokens over rate and burst"
        }
        return null
    }
}
