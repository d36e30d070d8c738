package fireflyhinge.standin.engine

import fireflyhinge.config.UpstreamRole

/**
 * Settings of the engine stand-in.
 *
 * @property models models that it serves; empty means any.
 * @property slots requests that decode at once.
 * @property prefillMicrosPerToken prefill time of one token that is not cached.
 * @property decodeStepMicros time of a decode step for one request.
 * @property decodeStepGrowthMicros added step time for each further running request.
 * @property blockTokens tokens of one block of the prefix cache.
 * @property cacheBlocks blocks that the prefix cache holds.
 * @property kvExpiryMillis time that a finished prefill is retained.
 * @property kvBytesPerToken size of the KV cache.
 * @property linkMegabytesPerSecond rate of the transfer link; transfers follow one another.
 * @property loadLagMillis age of the load report.
 * @property eventLagMillis time until a cache event is published.
 * @property eventLossPercent cache events that are never published.
 * @property version version of the weights at the start, or null for none.
 * @property orderLoadMillis time that an order which loads weights takes.
 * @property checksFence whether orders with an old fencing number are refused.
 * @property cancelOnDisconnectPrefill whether a broken connection frees a prefill.
 * @property cancelOnDisconnectDecode whether a broken connection frees a decode request.
 * @property exitOnCrash whether a crash ends the process; otherwise everything is dropped and the incarnation changes.
 */
data class EngineSettings(
    val role: UpstreamRole,
    val models: Set<String> = emptySet(),
    val slots: Int = 20,
    val prefillMicrosPerToken: Long = 100,
    val decodeStepMicros: Long = 25_000,
    val decodeStepGrowthMicros: Long = 500,
    val blockTokens: Int = 1_000,
    val cacheBlocks: Int = 2_000,
    val kvExpiryMillis: Long = 900,
    val kvBytesPerToken: Long = 20_000,
    val linkMegabytesPerSecond: Long = 1_000,
    val loadLagMillis: Long = 200,
    val eventLagMillis: Long = 500,
    val eventLossPercent: Int = 5,
    val version: String? = null,
    val orderLoadMillis: Long = 0,
    val checksFence: Boolean = true,
    val cancelOnDisconnectPrefill: Boolean = true,
    val cancelOnDisconnectDecode: Boolean = false,
    val exitOnCrash: Boolean = false,
)
