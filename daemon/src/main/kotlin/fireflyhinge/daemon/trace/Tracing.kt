package fireflyhinge.daemon.trace

import io.opentelemetry.api.GlobalOpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter

/** Spans of requests. Spans are exported when the process registers an OpenTelemetry SDK. */
object Tracing {
    private const val HEADER = "traceparent"
    private val propagator = W3CTraceContextPropagator.getInstance()
    private val tracer: Tracer get() = GlobalOpenTelemetry.getTracer("fireflyhinge")

    /** Runs [block] in a span [name] that continues the caller's W3C [traceparent], if it is valid. */
    fun <T> request(name: String, traceparent: String?, block: () -> T): T {
        val parent = propagator.extract(Context.root(), traceparent, Getter)
        return span(name, SpanKind.SERVER, parent, block)
    }

    /** Runs [block] in a span [name] below the current one. */
    fun <T> hop(name: String, block: () -> T): T = span(name, SpanKind.CLIENT, Context.current(), block)

    /** Value of the `traceparent` header that continues the current span, or null outside of one. */
    fun traceparent(): String? {
        val fields = HashMap<String, String>()
        propagator.inject(Context.current(), fields) { map, key, value -> map?.put(key, value) }
        return fields[HEADER]
    }

    private fun <T> span(name: String, kind: SpanKind, parent: Context, block: () -> T): T {
        val span = tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan()
        return span.makeCurrent().use { finish(span, block) }
    }

    @Suppress("TooGenericExceptionCaught") // Any exception marks the span and is thrown on.
    private fun <T> finish(span: Span, block: () -> T): T =
        try {
            block()
        } catch (e: Exception) {
            span.setStatus(StatusCode.ERROR).recordException(e)
            throw e
        } finally {
            span.end()
        }

    private object Getter : TextMapGetter<String> {
        override fun keys(carrier: String): Iterable<String> = listOf(HEADER)

        override fun get(carrier: String?, key: String): String? = carrier.takeIf { key == HEADER }
    }
}
