package fireflyhinge.standin.engine

import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Decodes all running requests of [slots] together: each gets one token in each step. Ends when they are closed. */
internal class DecodeBatch(
    private val settings: EngineSettings,
    private val slots: DecodeSlots,
    private val onTokens: (Int) -> Unit,
) {
    init {
        thread(name = "decode-batch", isDaemon = true) { run() }
    }

    private fun run() {
        var size = slots.awaitRunning()
        while (size > 0) {
            val micros = settings.decodeStepMicros + (size - 1) * settings.decodeStepGrowthMicros
            Waits.sleep(nanos = TimeUnit.MICROSECONDS.toNanos(micros)) { false }
            onTokens(slots.step())
            size = slots.awaitRunning()
        }
    }
}
