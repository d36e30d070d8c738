package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.SettleRequest
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test

/** Checks that concurrent calls to a shard are linearizable. */
@Param(name = "id", gen = IntGen::class, conf = "1:3")
class QuotaShardLincheckTest {
    private val shard = QuotaShard().apply { open(newEpoch = 1, now = 0) }
    private val limits = QuotaLimits(rate = 100.0, depth = 100.0)

    @Operation
    fun charge(@Param(name = "id") id: Int): ChargeReply? {
        val request = ChargeRequest("c$id", "shop", 30.0 * id, "f", Priority.INTERACTIVE, maxWaitMillis = 1000)
        return shard.charge(request, limits, actingEpoch = 1, now = SECOND)
    }

    @Operation
    fun settle(@Param(name = "id") id: Int): Double =
        shard.settle(SettleRequest("c$id", "shop", epoch = 1, unusedTokens = 10.0 * id), now = SECOND)

    @Operation
    fun lend(@Param(name = "id") id: Int): Double =
        shard.lend("shop", 10.0 * id, limits, actingEpoch = 1, now = SECOND)

    @Operation
    fun open(@Param(name = "id") id: Int) = shard.open(newEpoch = (id / 3 + 1).toLong(), now = SECOND)

    /** Guards against lost or doubled debits when server threads use one ledger concurrently (P3). */
    @Test
    fun concurrentUseIsLinearizable() = StressOptions().iterations(20).invocationsPerIteration(500).check(this::class)

    private companion object {
        const val SECOND = 1_000_000_000L
    }
}
