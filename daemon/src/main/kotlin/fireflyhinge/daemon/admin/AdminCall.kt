package fireflyhinge.daemon.admin

import fireflyhinge.Json
import fireflyhinge.config.ObjectDecoder
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.javalin.http.Context
import java.util.UUID

/** One HTTP call of the admin API. */
internal class AdminCall(private val ctx: Context) {
    /** Name of the object or VM in the path. */
    val name: String get() = path("name")

    /** Change id, a new one if the operator gave none, and expected version. */
    val options: ChangeOptions by lazy {
        ChangeOptions(
            changeId = query("change_id") ?: UUID.randomUUID().toString(),
            expectedVersion = query("expected_version")?.toLong(),
        )
    }

    fun path(parameter: String): String = ctx.pathParam(parameter)

    fun query(parameter: String): String? = ctx.queryParam(parameter)?.takeIf { it.isNotBlank() }

    fun flag(parameter: String, default: Boolean = true): Boolean = query(parameter)?.toBooleanStrictOrNull() ?: default

    fun validVersion(): Boolean = query("expected_version")?.let { (it.toLongOrNull() ?: -1) >= 0 } ?: true

    /** The body as text. Javalin's own limit has no numbered code, so the limit is applied here. */
    fun body(): Outcome<String> {
        val bytes = ctx.bodyInputStream().readNBytes(ObjectDecoder.MAX_BYTES + 1)
        val tooLarge = bytes.size > ObjectDecoder.MAX_BYTES
        return if (tooLarge) Outcome.Failure(ResultCode.OBJECT_TOO_LARGE) else Outcome.Success(bytes.decodeToString())
    }

    fun <T> change(apply: (String, String, ChangeOptions) -> Outcome<T>): Outcome<T> =
        body().then { apply(name, it, options) }

    fun reply(outcome: Outcome<Any>) {
        val requestId = ctx.header("X-Request-Id") ?: UUID.randomUUID().toString()
        when (outcome) {
            is Outcome.Success -> send(status = 200, body = outcome.value)
            is Outcome.Failure -> send(outcome.code.httpStatus, AdminError.of(outcome, requestId))
        }
    }

    private fun send(status: Int, body: Any) {
        // Javalin encodes text in the response's character set, which is not UTF-8 by default.
        ctx.status(status).contentType("application/json").result(Json.mapper.writeValueAsBytes(body))
    }
}
