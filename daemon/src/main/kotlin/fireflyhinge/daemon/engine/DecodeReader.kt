package fireflyhinge.daemon.engine

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.HttpReply
import fireflyhinge.daemon.outbound.SendMark
import fireflyhinge.daemon.outbound.isRefusedConnection
import fireflyhinge.daemon.outbound.summary
import fireflyhinge.daemon.outbound.text
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue

/**
 * Reads the server-sent events of one decode call into a queue, so that the caller's wait can have a deadline. Events
 * of other requests are dropped here, and reading stops at the end event, so that an engine cannot fill the queue.
 */
internal class DecodeReader(request: DecodeRequest, val mark: SendMark) : Callback {
    /** Events of the request in order, at most one a token, the end and a failure. */
    val items = LinkedBlockingQueue<StreamItem>()
    private val sequence = DecodeSequence(request)
    private var ended = false

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
        mark.socket?.allow(EVENT_BYTES)
        while (!ended && !source.exhausted()) {
            val line = source.readUtf8LineStrict(MAX_LINE_BYTES)
            if (line.startsWith(TYPE)) type = line.removePrefix(TYPE)
            if (line.startsWith(DATA)) receive(type = type, data = line.removePrefix(DATA))
        }
        if (!ended) fail(EngineFailure.Broken("the stream ended without an end event"))
    }

    private fun receive(type: String, data: String) {
        when (type) {
            "token" -> accept(Json.decode<DecodeEvent.Token>(data))
            "end" -> accept(Json.decode<DecodeEvent.End>(data))
            "cancelled" -> fail(EngineFailure.Cancelled)
        }
    }

    private fun accept(event: DecodeEvent) {
        when (sequence.check(event)) {
            EventCheck.FOREIGN -> return
            EventCheck.GAP -> fail(EngineFailure.Broken("tokens are missing before $event"))
            EventCheck.EXCESS -> fail(EngineFailure.Broken("$event is beyond the last token"))
            EventCheck.NEXT -> {
                mark.socket?.allow(EVENT_BYTES)
                ended = event is DecodeEvent.End
                items.add(StreamItem.Received(event))
            }
        }
    }

    private fun fail(failure: EngineFailure) {
        ended = true
        items.add(StreamItem.Failed(failure))
    }

    private companion object {
        const val TYPE = "event: "
        const val DATA = "data: "
        const val MAX_LINE_BYTES = 65_536L

        /** Bytes up to the next event of the request; crossed events count. */
        const val EVENT_BYTES = 16 * MAX_LINE_BYTES
    }
}
