package fireflyhinge

import fireflyhinge.peer.ChargeReply
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JsonTest {
    /** Guards against a sealed reply that loses its type in JSON. */
    @Test
    fun sealedRepliesKeepTheirType() {
        val replies =
            listOf(
                ChargeReply.Granted(epoch = 3, waitMillis = 20),
                ChargeReply.RateExceeded(retryAfterMillis = 5),
                ChargeReply.NotOwner(owner = null),
            )
        replies.forEach { assertEquals(it, Json.decode<ChargeReply>(Json.encode(it))) }
    }
}
