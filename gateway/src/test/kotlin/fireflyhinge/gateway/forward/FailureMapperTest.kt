package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.CallKind
import fireflyhinge.forward.ForwardRoute
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.forward.RouteTarget
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FailureMapperTest {
    private val metadata = RequestMetadata("id", null, null, null, null, null, null)
    private val request = CallerRequest("POST", "/x", DefaultHttpHeaders(), ByteArray(0), monotonicMillis())

    private fun context(left: Long, sent: Boolean): RequestContext {
        val target = listOf(RouteTarget("s"))
        val route = ForwardRoute("r", "h", "/", CallKind.NON_IDEMPOTENT, target, 500, 300)
        val admission = Admission(route, workspace = null, configVersion = 1)
        return RequestContext(request, metadata, admission, "s", monotonicMillis() + left)
            .apply { if (sent) recordSend() }
    }

    private class Case(
        val what: String,
        val left: Long,
        val sent: Boolean,
        val failure: ResultCode,
        val told: ResultCode,
    )

    /**
     * Guards against a refusal that says "not run" after the request was sent, and against another code than the
     * time-out's when a replica's patience and the request's time end in the same millisecond.
     */
    @Test
    fun failuresTellTheTruth() {
        listOf(
            Case("not sent", 9_000, false, ResultCode.CAPACITY_EXHAUSTED, ResultCode.CAPACITY_EXHAUSTED),
            Case("sent, then full", 9_000, true, ResultCode.CAPACITY_EXHAUSTED, ResultCode.ATTEMPTS_FAILED),
            Case("sent and lost", 9_000, true, ResultCode.ATTEMPTS_FAILED, ResultCode.ATTEMPTS_FAILED),
            Case("lost at the end", 0, true, ResultCode.ATTEMPTS_FAILED, ResultCode.UPSTREAM_TIMEOUT),
            Case("not sent until the end", 0, false, ResultCode.NO_UPSTREAM, ResultCode.CAPACITY_EXHAUSTED),
        ).forEach { case ->
            val told = FailureMapper.forCaller(Outcome.Failure(case.failure), context(case.left, case.sent))
            assertEquals(case.told, told.code, case.what)
        }
    }
}
