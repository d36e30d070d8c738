package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.VmRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PeerMessagesTest {
    private val vm = VmRecord("vm-1", "10.1.0.3:80", "10.1.0.3:81", "north", 5, 7, ready = true, mapOf("r1" to 9L))
    private val good = PeerMessages.encode(PeerStateMessage(listOf(vm), emptyMap())).decodeToString()

    /** Guards against calls to addresses that are none, and against records that no later one replaces. */
    @Test
    fun anOddRecordIsLeftOut() {
        val odd =
            mapOf(
                "\"name\":\"vm-1\"" to listOf("\"name\":\"\"", "\"name\":7", "\"other\":1"),
                "\"10.1.0.3:80\"" to listOf("\"10.1.0.3:0\"", "\"x\"", "7", "null", "[]"),
                "\"10.1.0.3:81\"" to listOf("\"10.1.0.3:65536\"", "\":81\"", "\"[::1]:81\"", "null", "{}"),
                "\"started_at\":5" to listOf("\"started_at\":1e400", "\"started_at\":-1", "\"started_at\":\"5\""),
                "\"beat\":7" to listOf("\"beat\":99999999999999999999", "\"beat\":null", "\"beat\":[]"),
                "\"r1\":9" to listOf("\"r1\":-1", "\"r1\":1e400", "\"r1\":\"9\"", "\"r1\":[]"),
            )
        val taken =
            odd.flatMap { (field, values) -> values.map { good.replace(field, it) } }
                .filter { PeerMessages.exchange(it.toByteArray()).vms.isNotEmpty() }
        assertEquals(emptyList<String>(), taken)
        assertEquals(listOf(vm), PeerMessages.exchange(good.toByteArray()).vms)
    }

    /** Guards against a copy that cannot be passed on because of one text in it. */
    @Test
    fun aCopyWithHalfASurrogatePairIsPassedOn() {
        val listing = StoreReadResult.Listing(listOf(StoreItem("a\ud800", 3, "{\"b\":\"\udc00\"}")), 4)
        assertEquals(listing, PeerMessages.listing(PeerMessages.encode(listing)))
    }

    /** Guards against a copy that loses objects that other VMs hold because of one that is none. */
    @Test
    fun anOddItemOfACopyIsLeftOut() {
        val items = """7,null,[],{},{"name":""},{"name":7,"revision":1,"body":"x"},{"name":"a","revision":1,"body":7}"""
        val text = """{"revision":4,"items":[$items,{"name":"good","revision":2,"body":"{}"}]}"""
        assertEquals(
            StoreReadResult.Listing(listOf(StoreItem("good", 2, "{}")), 4),
            PeerMessages.listing(text.toByteArray()),
        )
    }

    /** Guards against a share of a limit that grows without end, or is used up, by one message. */
    @Test
    fun anOddLoanIsNone() {
        val values = listOf("-1", "1e400", "\"Infinity\"", "\"NaN\"", "\"5\"", "null", "[]", "{}")
        val loans = values.map { PeerMessages.loan("""{"workspace":"w","tokens":$it}""".toByteArray()) }
        assertEquals(values.map { "w" to 0.0 }, loans)
        assertEquals("w" to 2.5, PeerMessages.loan("""{"workspace":"w","tokens":2.5}""".toByteArray()))
    }

    /** Guards against a rename that reaches the messages between VMs of two versions. */
    @Test
    fun theNamesInMessagesStay() {
        val vms =
            """{"name":"vm-1","front":"10.1.0.3:80","control":"10.1.0.3:81","failure_domain":"north",""" +
                """"started_at":5,"beat":7,"ready":true,"tokens":{"r1":9}}"""
        val exchange = PeerStateMessage(listOf(vm), StoreObjectKind.entries.associateWith { it.ordinal.toLong() })
        val listing = StoreReadResult.Listing(listOf(StoreItem("a", 3, "{}")), 4)
        val cases =
            mapOf(
                PeerMessages.encode(exchange) to
                    """{"vms":[$vms],"revisions":{"CONFIGURATION":0,"REPLICAS":1,"VMS":2}}""",
                PeerMessages.encode(listing) to
                    """{"revision":4,"items":[{"name":"a","revision":3,"body":"{}"}]}""",
                PeerMessages.encodeLoan("w", 2.5) to """{"workspace":"w","tokens":2.5}""",
            )
        assertEquals(cases.values.toList(), cases.keys.map { it.decodeToString() })
        assertEquals(exchange, PeerMessages.exchange(PeerMessages.encode(exchange)))
        val paths =
            listOf(
                Gossip.EXCHANGE_PATH,
                Gossip.FEED_PATH,
                LoadBroadcaster.PATH,
                PeerQuotaBorrower.PATH,
                PeerQuotaBorrower.REPAY_PATH,
            )
        assertEquals(listOf("exchange", "feed/", "record", "borrow", "repay").map { "/peer/v1/$it" }, paths)
    }
}
