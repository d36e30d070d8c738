package fireflyhinge.slopes

import fireflyhinge.Json
import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.SettleRequest
import fireflyhinge.quota.QuotaLimits
import fireflyhinge.quota.QuotaShard

/** Processor time of a charge with its settlement at the owner of [buckets] buckets, and heap of their open charges. */
internal class QuotaSlope(private val buckets: Int) {
    private val shard = QuotaShard()
    private val limits = QuotaLimits(rate = RATE, depth = RATE)

    /** One line with the means. */
    fun run(): String {
        shard.open(newEpoch = 1, now = 0)
        val before = Processor.liveHeap()
        repeat(OPEN) { charge(it) }
        val bytes = (Processor.liveHeap() - before) / OPEN
        val micros = Processor.micros(WARM, COUNT) { exchange(OPEN + it) }
        return "quota buckets $buckets: charge and settlement ${"%.1f".format(micros)} us, $bytes B an open charge"
    }

    private fun exchange(number: Int) {
        val reply = charge(number)
        check(reply is ChargeReply.Granted) { "charge $number: $reply" }
        val settled = SettleRequest("charge-$number", workspace(number), epoch = 1, unusedTokens = TOKENS / 2)
        shard.settle(Json.decode(Json.encode(settled)), now(number))
    }

    /** One charge, encoded and decoded as on the wire. */
    private fun charge(number: Int): ChargeReply {
        val sent = Json.encode(request(number))
        val reply = shard.charge(Json.decode(sent), limits, actingEpoch = 1, now = now(number))
        return Json.decode(Json.encode(checkNotNull(reply)))
    }

    private fun request(number: Int) =
        ChargeRequest("charge-$number", workspace(number), TOKENS, "f".repeat(HASH), Priority.BATCH, WAIT_MILLIS)

    private fun workspace(number: Int) = "workspace-${number % buckets}"

    private fun now(number: Int) = number * NANOS_BETWEEN

    private companion object {
        const val RATE = 1e9
        const val TOKENS = 500.0
        const val HASH = 64
        const val WAIT_MILLIS = 1_000L
        const val OPEN = 5_000
        const val WARM = 5_000
        const val COUNT = 20_000
        const val NANOS_BETWEEN = 1_000_000L
    }
}
