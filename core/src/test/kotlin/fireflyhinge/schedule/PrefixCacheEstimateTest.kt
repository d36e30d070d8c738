package fireflyhinge.schedule

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PrefixCacheEstimateTest {
    private fun hashes(prefix: String, count: Int) = (1..count).map { "$prefix$it" }

    /** Guards against prefixes that count for another workspace, and against an estimate of more than was prefilled. */
    @Test
    fun theLongestCommonPrefixOfTheWorkspaceCounts() {
        val estimate = PrefixCacheEstimate(capacity = 100)
        estimate.add("w", hashes("a", 3))
        val cases =
            mapOf(
                ("w" to hashes("a", 3)) to 3_000,
                ("w" to hashes("a", 5)) to 3_000,
                ("w" to hashes("a", 1)) to 1_000,
                ("w" to hashes("b", 3)) to 0,
                ("other" to hashes("a", 3)) to 0,
                ("w" to emptyList<String>()) to 0,
            )
        cases.forEach { (case, tokens) ->
            assertEquals(tokens, estimate.cachedTokens(case.first, case.second), "$case")
        }
    }

    /** Guards against unbounded memory, and against an estimate that is kept after a report contradicts it. */
    @Test
    fun theLeastRecentlyUsedBlocksAreEvicted() {
        val estimate = PrefixCacheEstimate(capacity = 4)
        estimate.add("w", hashes("a", 2))
        estimate.add("w", hashes("b", 2))
        estimate.add("w", hashes("a", 2))
        estimate.add("w", hashes("c", 2))
        assertEquals(listOf(2_000, 0, 2_000), listOf("a", "b", "c").map { estimate.cachedTokens("w", hashes(it, 2)) })
        repeat(3) { estimate.recordOverestimate() }
        assertEquals(listOf(0, 2_000), listOf("a", "c").map { estimate.cachedTokens("w", listOf("${it}1", "${it}2")) })
    }
}
