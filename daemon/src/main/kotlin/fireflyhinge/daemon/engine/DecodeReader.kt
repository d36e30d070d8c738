package fireflyhinge.daemon.engine

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.HttpReply
import fireflyhinge.daemon.outbound.SendMark
import fireflyhinge.daemon.outbound.isRefusedConnection
import fireflyhinge.daemon.outbound.summary
import fireflyhinge.daemon.outbound.text
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineFailure
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue

/** Reads the server-sent events of one decode call into a queue, so that the caller's wait can have a deadline. */
internal class DecodeReader(val mark: SendMark) : Callback {
    val items = LinkedBlockingQueue<StreamItem>()

    override fun onFailure(call: Call, e: IOException) {
        val unreachable = EngineFailure.Unreachable(reason = e.summary(), refused = e.isRefusedConnection())
        fail(if (mark.sent) EngineFailure.Broken(e.summary()) else unreachable)
    }

    override fun onResponse(call: Call, response: Response) {
        try {
            response.use { read(it) }
        } catch (e: JsonProcessingException) {
            fail(EngineFailure.Broken("malformed event: ${e.originalMessage}"))
        } catch (e: IOException) {
            fail(EngineFailure.Broken(e.summary()))
        }
    }

    private fun read(response: Response) {
        if (!response.isSuccessful) {
            return fail(EngineReplies.failureOf(HttpReply(status = response.code, body = response.text())))
        }
        val source = response.body.source()
        var type = ""
        while (!source.exhausted()) {
            val line = source.readUtf8LineStrict(MAX_LINE_BYTES)
            if (line.startsWith(TYPE)) type = line.removePrefix(TYPE)
            if (line.startsWith(DATA)) receive(type = type, data = line.removePrefix(DATA))
        }
        fail(EngineFailure.Broken("the stream ended without an end event"))
    }

    private fun receive(type: String, data: String) {
        when (type) {
            "token" -> items.add(StreamItem.Received(Json.decode<DecodeEvent.Token>(data)))
            "end" -> items.add(StreamItem.Received(Json.decode<DecodeEvent.End>(data)))
            "cancelled" -> fail(EngineFailure.Cancelled)
        }
    }

    private fun fail(failure: EngineFailure) {
        items.add(StreamItem.Failed(failure))
    }

    private companion object {
        const val TYPE = "event: "
        const val DATA = "data: "
        const val MAX_LINE_BYTES = 65_536L
    }
}
