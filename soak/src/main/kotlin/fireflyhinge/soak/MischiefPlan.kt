package fireflyhinge.soak

import kotlin.random.Random

/** Decides by [seed] how each call is answered; wrong answers are of [kinds]. */
internal class MischiefPlan(private val seed: Long, private val kinds: Collection<Mischief> = Mischief.entries) {
    /** Share of calls that are answered wrongly. */
    @Volatile
    var share = 0.0

    /** How [replica] answers its call [number]. */
    fun pick(replica: String, number: Long): Mischief {
        val random = Random(seed * replica.hashCode() + number)
        if (random.nextDouble() >= share) return Mischief.NONE
        var left = random.nextInt(kinds.sumOf { it.weight })
        return kinds.first { kind ->
            left -= kind.weight
            left < 0
        }
    }
}
