package fireflyhinge.standin.engine

import fireflyhinge.Json
import fireflyhinge.engine.ChatMessage
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.Holder
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest

/**
 * Loads the classes of a transfer before the first request. In a fresh process this took longer than a finished prefill
 * is retained, so that the first imports failed.
 */
internal object WarmUp {
    fun run(fetcher: KvFetcher, address: String) {
        val id = EngineRequestId(request = "warm-up", attempt = 0)
        val holder = Holder(vm = "", incarnation = 0)
        val messages = listOf(ChatMessage(role = "user", content = ""))
        decodeAgain(PrefillRequest(id, holder, ticket = "", model = "", cacheScope = "", messages = messages))
        decodeAgain(ImportRequest(id, holder, ticket = "", sourceAddress = "", kvHandle = ""))
        decodeAgain(DecodeRequest(id = id, maxTokens = 1))
        decodeAgain(KvContent(model = "", messages = messages, resumedTokens = 0, promptTokens = 0, kvBytes = 0))
        fetcher.fetch(address = address, handle = "warm-up", stop = { false })
    }

    private inline fun <reified T : Any> decodeAgain(value: T) {
        Json.decode<T>(Json.encode(value))
    }
}
