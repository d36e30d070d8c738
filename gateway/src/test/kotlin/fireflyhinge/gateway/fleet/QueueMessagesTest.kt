package fireflyhinge.gateway.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.io.IOException

class QueueMessagesTest {
    private val call =
        QueueCall(
            queue = QueueName("s", "r"),
            id = "vm/1/2",
            workspace = "w",
            weight = 2.5,
            tokens = 5_270,
            waitedMillis = 10,
            targetMillis = -5,
            expiresMillis = 2_700,
            holdMillis = 300,
            avoid = setOf("i"),
            refusedOffer = 7,
        )

    /** Guards against fields that are lost between VMs. */
    @Test
    fun messagesAreDecodedAsEncoded() {
        val part = call.copy(queue = QueueName("s", "r", part = 2, parts = 3))
        listOf(call, part, call.copy(refusedOffer = null, avoid = emptySet())).forEach {
            assertEquals(it, QueueMessages.call(QueueMessages.encode(it)))
        }
        listOf(QueueReply.Offer(3, "i"), QueueReply.Waiting(4), QueueReply.Refused(1_500), QueueReply.Ended).forEach {
            assertEquals(it, QueueMessages.reply(QueueMessages.encode(it)))
        }
        val end = QueueMessages.end(QueueMessages.encodeEnd(call.queue, "a", taken = true))
        assertEquals(Triple(call.queue, "a", true), end)
        val freed = QueueMessages.freed(QueueMessages.encodeFreed(call.queue, listOf("i", "j")))
        assertEquals(call.queue to listOf("i", "j"), freed)
    }

    /** Guards against messages of another build that fail, and against odd ones that disturb a queue. */
    @Test
    fun unknownFieldsAreIgnoredAndInvalidOnesRejected() {
        val text = String(QueueMessages.encode(call))
        assertEquals(call, QueueMessages.call(text.replaceFirst("{", """{"new":{"a":1},""").toByteArray()))
        val odd =
            listOf(
                text.replace("2.5", "0"),
                text.replace("2.5", "-1"),
                text.replace("2.5", "\"NaN\""),
                text.replace("5270", "-1"),
                text.replace("\"expires\":2700", "\"expires\":1e30"),
                text.replace("\"hold\":300", "\"hold\":99999999"),
                text.replace("\"id\"", "\"other\""),
                "[]",
                "{",
                "",
            )
        odd.forEach { message ->
            assertThrows(IOException::class.java, { QueueMessages.call(message.toByteArray()) }, message)
        }
    }
}
