package fireflyhinge.daemon.wire

import com.fasterxml.jackson.databind.JavaType
import fireflyhinge.Json
import fireflyhinge.address.AddressResponse
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.config.ConfigSyncResponse
import fireflyhinge.config.Fence
import fireflyhinge.config.Route
import fireflyhinge.config.Template
import fireflyhinge.config.Upstream
import fireflyhinge.config.Workspace
import fireflyhinge.daemon.admin.AdminError
import fireflyhinge.daemon.admin.Change
import fireflyhinge.daemon.admin.DrainRequest
import fireflyhinge.daemon.admin.FleetStatus
import fireflyhinge.daemon.admin.GrantedKey
import fireflyhinge.daemon.admin.HeldVersions
import fireflyhinge.daemon.admin.ListedObject
import fireflyhinge.daemon.admin.UpstreamStatus
import fireflyhinge.daemon.config.VersionsAnswer
import fireflyhinge.daemon.config.VersionsRequest
import fireflyhinge.daemon.order.OrderStatusAnswer
import fireflyhinge.daemon.order.OrderStatusRequest
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import fireflyhinge.idempotency.Claim
import fireflyhinge.lease.ShardMap
import fireflyhinge.membership.GossipMessage
import fireflyhinge.membership.Heartbeat
import fireflyhinge.membership.MemberState
import fireflyhinge.peer.Accepted
import fireflyhinge.peer.BorrowReply
import fireflyhinge.peer.BorrowRequest
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.peer.LeaseReply
import fireflyhinge.peer.LeaseRequest
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.peer.SettleRequest
import fireflyhinge.peer.TicketBatch
import fireflyhinge.peer.TicketReply
import fireflyhinge.result.ResultCode
import fireflyhinge.schedule.RefusalReason
import fireflyhinge.store.StoredObject
import fireflyhinge.store.VmEntry
import fireflyhinge.store.WatchBatch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/**
 * Compares the names in JSON with `json-names.txt`. Jackson takes them from Kotlin, so renaming a property, an enum
 * constant or a subtype would change messages between daemons of two versions, stored objects and answers.
 */
class JsonNamesTest {
    private val types: Map<String, Class<*>> =
        linkedMapOf(
            "charge" to ChargeRequest::class.java,
            "charge-reply" to ChargeReply::class.java,
            "settle" to SettleRequest::class.java,
            "borrow" to BorrowRequest::class.java,
            "borrow-reply" to BorrowReply::class.java,
            "crash" to CrashReport::class.java,
            "lease" to LeaseRequest::class.java,
            "lease-reply" to LeaseReply::class.java,
            "place" to PlaceRequest::class.java,
            "place-reply" to PlaceReply::class.java,
            "tickets" to TicketBatch::class.java,
            "tickets-reply" to TicketReply::class.java,
            "accepted" to Accepted::class.java,
            "gossip" to GossipMessage::class.java,
            "config" to ConfigSyncRequest::class.java,
            "config-reply" to ConfigSyncResponse::class.java,
            "versions" to VersionsRequest::class.java,
            "versions-reply" to VersionsAnswer::class.java,
            "drain" to DrainRequest::class.java,
            "order-status" to OrderStatusRequest::class.java,
            "order-status-reply" to OrderStatusAnswer::class.java,
            "stored template" to Template::class.java,
            "stored workspace" to Workspace::class.java,
            "stored route" to Route::class.java,
            "stored upstream" to Upstream::class.java,
            "stored shard map" to ShardMap::class.java,
            "stored fence" to Fence::class.java,
            "stored claim" to Claim::class.java,
            "store object" to StoredObject::class.java,
            "store watch" to WatchBatch::class.java,
            "store VM" to VmEntry::class.java,
            "engine prefill" to PrefillRequest::class.java,
            "engine prefill-reply" to PrefillResult::class.java,
            "engine import" to ImportRequest::class.java,
            "engine decode" to DecodeRequest::class.java,
            "engine event token" to DecodeEvent.Token::class.java,
            "engine event end" to DecodeEvent.End::class.java,
            "engine load" to EngineLoad::class.java,
            "engine request" to HeldRequest::class.java,
            "engine order" to EngineOrder::class.java,
            "caller addresses" to AddressResponse::class.java,
            "admin error" to AdminError::class.java,
            "admin change" to Change::class.java,
            "admin key" to GrantedKey::class.java,
            "admin object" to ListedObject::class.java,
            "admin status" to FleetStatus::class.java,
            "admin versions" to HeldVersions::class.java,
            "admin upstream" to UpstreamStatus::class.java,
            "text refusal-reason" to RefusalReason::class.java,
            "text result-code" to ResultCode::class.java,
        )

    private fun lines(): List<String> =
        types.flatMap { (path, type) -> JsonShape.of(path, Json.mapper.constructType(type) as JavaType) }

    @Test
    fun theNamesInJsonStay() {
        val file = Path.of(System.getProperty("fireflyhinge.root"), "daemon/src/test/resources/json-names.txt")
        if (System.getProperty("json-names.update") == "true") Files.write(file, lines())
        assertEquals(Files.readAllLines(file).joinToString("\n"), lines().joinToString("\n"))
    }

    /** Guards against subtypes and arrays of another form than [JsonShape] derives from their annotations. */
    @Test
    fun theFormsOfSubtypesAndArraysStay() {
        val cases: Map<Any, String> =
            mapOf(
                ChargeReply.Granted(1, 2, 3) to """{"type":"Granted","epoch":1,"waitMillis":2,"crashes":3}""",
                ChargeReply.RateExceeded(4) to """{"type":"RateExceeded","retryAfterMillis":4}""",
                ChargeReply.ExceedsBurst(0.5) to """{"type":"ExceedsBurst","depth":0.5}""",
                ChargeReply.Barred(5) to """{"type":"Barred","retryAfterMillis":5}""",
                ChargeReply.NotOwner("v") to """{"type":"NotOwner","owner":"v"}""",
                PlaceReply.Placed("t", 1, "p", "pa", "d", "da") to
                    """{"type":"Placed","ticket":"t","epoch":1,"prefillReplica":"p","prefillAddress":"pa",""" +
                    """"decodeReplica":"d","decodeAddress":"da"}""",
                PlaceReply.Refused("r", 6) to """{"type":"Refused","reason":"r","retryAfterMillis":6}""",
                PlaceReply.Waiting() to """{"type":"Waiting","queued":true}""",
                PlaceReply.NotOwner(null) to """{"type":"NotOwner","owner":null}""",
                Heartbeat("a", 1, 2, MemberState.LIVE, isolated = true, openRequests = 3, ageMillis = 4) to
                    """["a",1,2,"LIVE",true,3,4]""",
            )
        assertEquals(cases.values.toList(), cases.keys.map(Json::encode))
        val declared = { value: Any -> value.javaClass.interfaces.firstOrNull() ?: value.javaClass }
        assertEquals(cases.keys.toList(), cases.map { (value, text) -> Json.decode(text, declared(value)) })
    }
}
