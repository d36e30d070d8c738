package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.CrashSighting
import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.PrefillRate
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.forward.StreamOrigin
import fireflyhinge.forward.Trait
import fireflyhinge.forward.TraitReport
import fireflyhinge.forward.VmRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test

class PeerMessagesTest {
    private val vm = VmRecord("vm-1", "10.1.0.3:80", "10.1.0.3:81", "north", 5, 7, ready = true, mapOf("r1" to 9L))
    private val good = PeerMessages.encode(PeerStateMessage(listOf(vm), emptyMap())).decodeToString()

    private val sighting = CrashSighting("r1@5", "c3", requests = 2, ageMillis = 9)
    private val evidence =
        EvidenceReport(
            listOf(TraitReport(Trait(Trait.Kind.PART, "m", "a1"), listOf(sighting), soundAgeMillis = 7)),
            mapOf("m" to mapOf("x9" to 2L)),
        )

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

    /** Guards against a message that is dropped, or a rate that is used, because one of its rates is odd. */
    @Test
    fun oddPrefillRatesAreLeftOut() {
        val rates = mapOf("r1" to PrefillRate(33.5, 9), "r2" to PrefillRate(80.0, 0))
        val message = PeerStateMessage(listOf(vm), emptyMap(), prefillRates = rates)
        val text = PeerMessages.encode(message).decodeToString()
        assertEquals(rates, PeerMessages.exchange(text.toByteArray()).prefillRates)
        listOf("\"rate\":-1", "\"rate\":\"33\"", "\"rate\":1e400", "\"rate\":null", "\"other\":1").forEach { odd ->
            val decoded = PeerMessages.exchange(text.replace("\"rate\":33.5", odd).toByteArray())
            assertEquals(rates - "r1", decoded.prefillRates, odd)
            assertEquals(listOf(vm), decoded.vms, odd)
        }
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

    /** Guards against a message that fills memory with evidence, or makes a VM refuse requests by odd values. */
    @Test
    fun oddEvidenceIsLeftOut() {
        val text = EvidenceCodec.encode(evidence).toString()
        val odd =
            mapOf(
                "\"p/a1/m\"" to
                    listOf("\"\"", "7", "\"p/a1\"", "\"x/a1/m\"", "\"p//m\"", "\"p/${"a".repeat(99)}/m\"", "null"),
                "\"r1@5\"" to listOf("\"\"", "7", "null", "\"${"r".repeat(200)}\""),
                "\"c3\"" to listOf("\"\"", "{}", "\"${"c".repeat(99)}\""),
                "\"requests\":2" to listOf("\"requests\":0", "\"requests\":-1", "\"other\":1", "\"requests\":\"2\""),
                "\"age\":9" to listOf("\"age\":-1", "\"age\":1e400", "\"age\":\"9\"", "\"age\":99999999999"),
            )
        val taken =
            odd.flatMap { (field, values) -> values.map { text.replace(field, it) } }
                .filter { EvidenceCodec.decode(it.toByteArray()).traits.isNotEmpty() }
        assertEquals(emptyList<String>(), taken)
        listOf("[]", "7", "{}", "{\"traits\":7}", "{\"sound_ages\":[]}").forEach {
            assertEquals(EvidenceReport(), EvidenceCodec.decode(it.toByteArray()), it)
        }
        val many = EvidenceReport(List(999) { TraitReport(Trait(Trait.Kind.PART, "m", "a$it"), emptyList()) })
        val decoded = EvidenceCodec.decode(EvidenceCodec.encode(many).toString().toByteArray())
        assertEquals(CrashEvidence.MAX_REPORTED, decoded.traits.size)
    }

    /** Guards against a copy that is taken as current for ever because of one message. */
    @Test
    fun anOddAgeConfirmsNothing() {
        val ages = listOf("-1", "9223372036854775807", "1e400", "\"5\"", "null", "{}")
        val messages = ages.map { """{"confirmed":{"REPLICAS":{"digest":"a1","age_ms":$it}}}""" }
        val read = messages.map { PeerMessages.exchange(it.toByteArray()).copies[StoreObjectKind.REPLICAS] }
        assertEquals(ages.map { CopyVersion(0, "a1") }, read)
    }

    /** Guards against an era that is lost between VMs, and against builds without eras that seem newer. */
    @Test
    fun theEraOfACopyIsPassedOn() {
        val copies =
            StoreObjectKind.entries.associateWith { CopyVersion(4) } +
                (StoreObjectKind.REPLICAS to CopyVersion(3, "a1", ageMillis = 9, era = 2, certainAgeMillis = 12))
        val encoded = PeerMessages.encode(PeerStateMessage(emptyList(), copies))
        assertEquals(copies, PeerMessages.exchange(encoded).copies)
        val listing = StoreReadResult.Listing(listOf(StoreItem("a", 3, "{}")), 4, era = 2)
        assertEquals(listing, PeerMessages.listing(PeerMessages.encode(listing)))
        assertEquals(
            """{"revision":4,"era":2,"items":[{"name":"a","revision":3,"body":"{}"}]}""",
            PeerMessages.encode(listing).decodeToString(),
        )
        val odd = listOf("-1", "1e400", "\"2\"", "null", "{}", "9223372036854775808")
        val eras =
            odd.map { era ->
                val text = """{"revisions":{"REPLICAS":9},"eras":{"REPLICAS":$era}}"""
                PeerMessages.exchange(text.toByteArray()).copies.getValue(StoreObjectKind.REPLICAS).era
            }
        assertEquals(odd.map { 0L }, eras)
        val old = PeerMessages.exchange("""{"revisions":{"REPLICAS":9}}""".toByteArray()).copies
        assertFalse(old.getValue(StoreObjectKind.REPLICAS).newerThan(CopyVersion(3, era = 1)))
    }

    /** Guards against a rename that reaches the messages between VMs of two versions. */
    @Test
    fun theNamesInMessagesStay() {
        val vms =
            """{"name":"vm-1","front":"10.1.0.3:80","control":"10.1.0.3:81","failure_domain":"north",""" +
                """"started_at":5,"beat":7,"ready":true,"tokens":{"r1":9}}"""
        val revisions = """{"CONFIGURATION":0,"REPLICAS":1,"VMS":2,"CRASHES":3,"EVACUATIONS":4,""" +
            """"VERSIONS":5,"STREAMS":6}"""
        val copies = StoreObjectKind.entries.associateWith { CopyVersion(it.ordinal.toLong()) }
        val exchange = PeerStateMessage(listOf(vm), copies)
        val confirming =
            exchange.copy(copies = copies + (StoreObjectKind.VMS to CopyVersion(2, digest = "a1", ageMillis = 9)))
        val listing = StoreReadResult.Listing(listOf(StoreItem("a", 3, "{}")), 4)
        val told =
            """{"traits":[{"trait":"p/a1/m","sound_age":7,""" +
                """"crashes":[{"crash":"r1@5","request":"c3","requests":2,"age":9}]}],"sound_ages":{"m":{"x9":2}}}"""
        val cases =
            mapOf(
                PeerMessages.encode(exchange) to
                    """{"vms":[$vms],"revisions":$revisions}""",
                PeerMessages.encode(exchange.copy(evidence = evidence)) to
                    """{"vms":[$vms],"revisions":$revisions,""" +
                    """"evidence":$told}""",
                PeerMessages.encode(confirming) to
                    """{"vms":[$vms],"revisions":$revisions,""" +
                    """"confirmed":{"VMS":{"digest":"a1","age_ms":9}}}""",
                EvidenceCodec.encode(evidence).toString().toByteArray() to told,
                PeerMessages.encode(listing) to
                    """{"revision":4,"items":[{"name":"a","revision":3,"body":"{}"}]}""",
                PeerMessages.encodeLoan("w", 2.5) to """{"workspace":"w","tokens":2.5}""",
                StreamOriginCodec.encode(mapOf("a1" to StreamOrigin("engine", "v1"))) to
                    """{"streams":[{"service":"engine","version":"v1","ids":["a1"]}]}""",
                StreamOriginCodec.encodeIds(listOf("a1")) to """{"ids":["a1"]}""",
            )
        assertEquals(cases.values.toList(), cases.keys.map { it.decodeToString() })
        listOf(exchange, exchange.copy(evidence = evidence), confirming).forEach {
            assertEquals(it, PeerMessages.exchange(PeerMessages.encode(it)))
        }
        val paths =
            listOf(
                Gossip.EXCHANGE_PATH,
                Gossip.FEED_PATH,
                LoadBroadcaster.PATH,
                PeerQuotaBorrower.PATH,
                PeerQuotaBorrower.REPAY_PATH,
                EvidenceBroadcaster.PATH,
                CopyExchange.PATH,
            )
        val names = listOf("exchange", "feed/", "record", "borrow", "repay", "evidence", "copies")
        assertEquals(names.map { "/peer/v1/$it" }, paths)
    }
}
