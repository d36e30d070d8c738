package fireflyhinge.result

import fireflyhinge.result.ExecutionStatus.NOT_RUN
import fireflyhinge.result.ExecutionStatus.PARTIAL
import fireflyhinge.result.ExecutionStatus.RAN
import fireflyhinge.result.ExecutionStatus.UNKNOWN

/**
 * Numbered results shown to callers and operators. A test compares `docs/result-codes.md` with this table.
 *
 * @property number four digits, written `FH-<number>`.
 * @property httpStatus status of a response whose headers were not sent yet.
 * @property run whether the request ran.
 * @property text one sentence for the error message.
 */
enum class ResultCode(val number: Int, val httpStatus: Int, val run: ExecutionStatus, val text: String) {
    MALFORMED_JSON(1001, 400, NOT_RUN, "The body is not valid JSON."),
    INVALID_PARAMETER(1002, 400, NOT_RUN, "A parameter is missing or outside its allowed range."),
    BODY_TOO_LARGE(1003, 413, NOT_RUN, "The body is larger than the limit."),
    HEADERS_TOO_LARGE(1004, 431, NOT_RUN, "The request headers are larger than the limit."),
    MALFORMED_REQUEST(1005, 400, NOT_RUN, "The request is not valid HTTP."),
    UNKNOWN_MODEL(1006, 404, NOT_RUN, "No route serves this model."),
    UNKNOWN_ROUTE(1007, 404, NOT_RUN, "No route has this name."),
    BODY_TIMEOUT(1008, 408, NOT_RUN, "The body did not arrive within the read limit."),
    IDEMPOTENCY_KEY_REQUIRED(1009, 400, NOT_RUN, "The route requires an Idempotency-Key header."),
    NOT_FOUND(1010, 404, NOT_RUN, "No resource has this path."),
    METHOD_NOT_ALLOWED(1011, 405, NOT_RUN, "The resource does not accept this method."),
    CALLER_LEFT(1012, 400, UNKNOWN, "The caller closed its sending side before the answer was complete."),
    HEADER_TIMEOUT(1013, 408, NOT_RUN, "The request headers did not arrive within the read limit."),
    KEY_ABSENT(2001, 401, NOT_RUN, "The request has no API key."),
    KEY_UNKNOWN(2002, 401, NOT_RUN, "The API key is not known or was withdrawn."),
    KEY_WITHDRAWN(2003, 401, PARTIAL, "The API key was withdrawn while the answer was sent."),
    MODEL_NOT_ALLOWED(2004, 403, NOT_RUN, "The workspace may not use this model or route."),
    VM_ISOLATED(2005, 503, NOT_RUN, "This VM cannot confirm that keys are still valid; use another address."),
    OPERATOR_UNAUTHORIZED(2006, 401, NOT_RUN, "The operator token is absent or wrong."),
    RATE_EXCEEDED(3001, 429, NOT_RUN, "The workspace is over its rate."),
    BURST_TOO_SMALL(3002, 400, NOT_RUN, "The request costs more tokens than the workspace's burst."),
    QUOTA_UNAVAILABLE(3003, 503, NOT_RUN, "The owner of the workspace's quota did not answer in time."),
    FINGERPRINT_BARRED(3004, 422, NOT_RUN, "The request crashed upstreams and is barred for a while."),
    CRASH_SUSPECTED(3005, 503, NOT_RUN, "Requests like this one crashed upstreams and are refused for a while."),
    RATE_NOT_KNOWN(3006, 503, NOT_RUN, "This VM cannot tell yet whether the workspace is within its rate; try again."),
    CAPACITY_EXHAUSTED(4001, 503, NOT_RUN, "No capacity became free within the longest wait of the request."),
    PLACEMENT_UNAVAILABLE(4002, 503, NOT_RUN, "The scheduler of the pool did not answer in time."),
    NO_UPSTREAM(4003, 503, NOT_RUN, "No upstream of the route is available."),
    DRAINING(4004, 503, NOT_RUN, "This VM is draining; use another address."),
    NO_COMMON_REGION(4005, 503, NOT_RUN, "The route and the workspace have no home region in common."),
    STREAM_ORIGIN_UNKNOWN(4006, 503, NOT_RUN, "It is not known which software version began the stream."),
    UPSTREAM_REFUSED(5001, 502, NOT_RUN, "The upstream refused the request before running it."),
    UPSTREAM_FAILED(5002, 502, RAN, "The upstream answered with an error."),
    UPSTREAM_CONNECT_FAILED(5003, 502, NOT_RUN, "No connection to an upstream could be opened."),
    ANSWER_INTERRUPTED(5004, 502, PARTIAL, "The answer was interrupted and could not be resumed."),
    UPSTREAM_TIMEOUT(5005, 504, UNKNOWN, "The upstream did not answer in time."),
    ATTEMPTS_FAILED(5006, 502, UNKNOWN, "Every attempt failed; upstreams may have run part of the request."),
    OUTCOME_UNKNOWN(6001, 409, UNKNOWN, "The call was sent to the upstream and its outcome is unknown."),
    IDEMPOTENCY_KEY_REUSED(6002, 422, NOT_RUN, "The Idempotency-Key was used with another request."),
    CALL_IN_PROGRESS(6003, 409, UNKNOWN, "A call with this Idempotency-Key is still running."),
    ANSWER_NOT_KEPT(6004, 409, RAN, "The call ran earlier; its answer was too large to keep for a repeat."),
    STORE_UNAVAILABLE(7001, 503, NOT_RUN, "The platform store does not answer; the request needs it."),
    VERSION_CONFLICT(7002, 409, NOT_RUN, "The object was changed by another operator; read it and try again."),
    OBJECT_INVALID(7003, 422, NOT_RUN, "The configuration object is not valid."),
    OBJECT_TOO_LARGE(7004, 413, NOT_RUN, "The configuration object is larger than 1 MB."),
    OBJECT_UNKNOWN(7005, 404, NOT_RUN, "No configuration object has this name."),
    UNKNOWN_TEMPLATE_PARAMETER(7006, 422, NOT_RUN, "The template has no parameter of this name."),
    CHANGE_UNCONFIRMED(7007, 504, UNKNOWN, "The store did not confirm the change; read the object first."),
    VM_UNREACHABLE(7008, 503, NOT_RUN, "The VM that the operator named does not answer."),
    CONFIGURATION_UNKNOWN(7009, 503, NOT_RUN, "This VM has not read the configuration yet; use another address."),
    WORKSPACE_INVALID(7010, 503, NOT_RUN, "The name of the workspace cannot be sent to upstreams."),
    SETTING_INVALID(8001, 500, NOT_RUN, "A setting has a value that is not allowed."),
    SETTING_MISSING(8002, 500, NOT_RUN, "A required setting is missing."),
    INTERNAL(9001, 500, UNKNOWN, "An internal error occurred."),
    INTERNAL_NOT_RUN(9002, 503, NOT_RUN, "An internal error occurred before the request was sent on."),
    ;

    /** The code as callers see it, for example `FH-1001`. */
    val label: String get() = "FH-$number"
}
