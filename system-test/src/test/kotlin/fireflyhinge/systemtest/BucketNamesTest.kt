package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class BucketNamesTest {
    /** Guards against a wait for a bucket to move while all shards that move are without one. */
    @Test
    fun eachRunOfShardsHoldsABucket() {
        val buckets = BucketNames.spread.map(BucketNames::shardOf).toSet()
        val runs =
            (1..VMS).flatMap { gap ->
                (0 until SHARDS).windowed((RUN - 1) * gap + 1) { run -> run.filterIndexed { i, _ -> i % gap == 0 } }
            }
        assertEquals(emptyList<List<Int>>(), runs.filter { run -> run.none(buckets::contains) })
    }

    private companion object {
        const val VMS = 4

        // Shards of one owner that move at once are at least twice as many when a fourth VM joins.
        const val RUN = 5
    }
}
