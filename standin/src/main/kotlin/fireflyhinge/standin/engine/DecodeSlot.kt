package fireflyhinge.standin.engine

import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.Holder
import fireflyhinge.standin.AnswerGenerator

/** A slot of the decode replica. Mutable state that is not volatile is guarded by the lock of its [DecodeSlots]. */
internal class DecodeSlot(val id: EngineRequestId, val holder: Holder, val ticket: String) {
    val since: Long = System.nanoTime()

    @Volatile var cancelled: Boolean = false

    /** The imported KV cache; null while the import runs. */
    @Volatile var content: KvContent? = null

    /** The answer; null until the first decode call. */
    var answer: AnswerGenerator? = null

    /** Tokens of the whole answer. */
    var count: Int = 0

    /** Index of the next token to generate. */
    var next: Int = 0

    /** Whether a stream reads the slot. */
    var attached: Boolean = false

    /** Whether it gets a token in each step. */
    val running: Boolean get() = answer != null && next < count

    /** Whether token [index] is still to be generated. */
    fun willReach(index: Int): Boolean = !cancelled && index in next until count

    /** Starts the generation. */
    fun start(content: KvContent, request: DecodeRequest) {
        val generator = AnswerGenerator(model = content.model, messages = content.messages)
        count = generator.count(request.maxTokens)
        next = request.firstIndex
        answer = generator
    }
}
