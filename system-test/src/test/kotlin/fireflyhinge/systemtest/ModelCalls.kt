package fireflyhinge.systemtest

import fireflyhinge.engine.ChatMessage
import fireflyhinge.standin.AnswerGenerator
import java.util.concurrent.CompletableFuture

/** Streamed requests of the first workspace of [fleet] with answers of a given length. */
internal class ModelCalls(private val fleet: Fleet) {
    private val caller = ChatCaller()
    private val workspace = fleet.spec.workspaces.first()

    /** Starts a request about [topic] through [vm] whose answer has [tokens] tokens. */
    fun start(vm: String, topic: String, tokens: Int): CompletableFuture<ChatOutcome> {
        val address = fleet.callerAddress(vm)
        return inBackground { caller.stream(address, call(topic, tokens)) }
    }

    /** The request about [topic]. */
    fun call(topic: String, tokens: Int) =
        ChatCall(workspace.name, workspace.key, TestFleets.MODEL, messages(topic, tokens), tokens)

    /** The answer that the request about [topic] must get. */
    fun expected(topic: String, tokens: Int): String =
        AnswerGenerator(TestFleets.MODEL, messages(topic, tokens)).text(tokens)

    private fun messages(topic: String, tokens: Int) = listOf(
        ChatMessage("user", "About $topic please. tokens=$tokens")
    )
}
