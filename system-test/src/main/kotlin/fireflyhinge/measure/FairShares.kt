package fireflyhinge.measure

/** Max-min fair division of a capacity by weight. */
internal object FairShares {
    /** Share of each workspace, never above its [demand]; what one does not need goes to the others by [weights]. */
    fun of(capacity: Double, demand: Map<String, Double>, weights: Map<String, Double>): Map<String, Double> {
        val shares = HashMap<String, Double>()
        var open = demand.keys
        var left = capacity
        while (open.isNotEmpty()) {
            val weight = open.sumOf { weights.getValue(it) }
            val satisfied = open.filter { demand.getValue(it) <= left * weights.getValue(it) / weight }
            if (satisfied.isEmpty()) {
                open.forEach { shares[it] = left * weights.getValue(it) / weight }
                return shares
            }
            satisfied.forEach { shares[it] = demand.getValue(it) }
            left -= satisfied.sumOf { demand.getValue(it) }
            open = open - satisfied.toSet()
        }
        return shares
    }
}
