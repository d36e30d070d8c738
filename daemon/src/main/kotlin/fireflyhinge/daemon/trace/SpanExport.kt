package fireflyhinge.daemon.trace

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor

/** Sends the spans of this process to a collector. */
internal object SpanExport {
    /** Registers the process-wide SDK that exports to [endpoint], an OTLP/HTTP base URL; empty does nothing. */
    fun register(endpoint: String, vm: String) {
        if (endpoint.isEmpty()) return
        val exporter = OtlpHttpSpanExporter.builder().setEndpoint("${endpoint.trimEnd('/')}/v1/traces").build()
        val names =
            Attributes.of(
                AttributeKey.stringKey("service.name"),
                "fireflyhinge",
                AttributeKey.stringKey("service.instance.id"),
                vm,
            )
        val provider =
            SdkTracerProvider.builder()
                .setResource(Resource.getDefault().merge(Resource.create(names)))
                .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                .build()
        OpenTelemetrySdk.builder().setTracerProvider(provider).buildAndRegisterGlobal()
    }
}
