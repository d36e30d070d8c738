package fireflyhinge.daemon.service

import fireflyhinge.daemon.caller.CallerMetrics
import fireflyhinge.daemon.caller.DepartureWatch
import fireflyhinge.daemon.http.fail
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import io.javalin.http.Context
import io.javalin.http.Handler
import org.slf4j.MDC

/** `ANY /services/<route>/<rest>`. */
internal class ServiceHandler(
    private val reader: ServiceCallReader,
    private val pipeline: ServicePipeline,
    private val departures: DepartureWatch,
    private val metrics: CallerMetrics,
) : Handler {
    override fun handle(ctx: Context) {
        when (val read = reader.read(ctx)) {
            is Outcome.Failure -> answer(ctx, read)
            is Outcome.Success -> serve(ctx, read.value)
        }
    }

    private fun serve(ctx: Context, call: ServiceCall) {
        MDC.put("workspace", call.access.scope)
        departures.watching(ctx.req()) { caller ->
            val outcome = pipeline.run(call, caller)
            // An answer that is there is sent to a caller that closed only its sending side, too.
            val gone = outcome is Outcome.Failure && caller.departed()
            answer(ctx, if (gone) Outcome.Failure(ResultCode.CALLER_LEFT) else outcome)
        }
    }

    private fun answer(ctx: Context, outcome: Outcome<ServiceAnswer>) {
        when (outcome) {
            is Outcome.Failure -> {
                metrics.request(KIND, outcome.code.label)
                ctx.fail(outcome)
            }
            is Outcome.Success -> {
                metrics.request(KIND, "OK")
                write(ctx, outcome.value)
            }
        }
    }

    private fun write(ctx: Context, answer: ServiceAnswer) {
        val response = ctx.res()
        response.status = answer.status
        HeaderRules.toCaller(answer.headers).forEach { (name, value) -> response.addHeader(name, value) }
        response.outputStream.write(answer.body)
    }

    private companion object {
        const val KIND = "service"
    }
}
