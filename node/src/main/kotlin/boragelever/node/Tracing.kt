package boragelever.node

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import java.util.concurrent.TimeUnit

/** Maximum time to wait at shutdown for the export of queued spans. */
private const val FLUSH_TIMEOUT_MILLIS = 1_000L

/** OpenTelemetry tracing: exports spans to the OTLP endpoint of the settings, or discards them if there is none. */
internal class Tracing(settings: NodeSettings) : AutoCloseable {
    private val provider: SdkTracerProvider? = settings.otlpEndpoint?.let { tracerProvider(it, settings) }

    val openTelemetry: OpenTelemetry =
        if (provider == null) {
            OpenTelemetry.noop()
        } else {
            OpenTelemetrySdk.builder().setTracerProvider(provider).build()
        }

    override fun close() {
        provider?.shutdown()?.join(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }
}

private fun tracerProvider(endpoint: String, settings: NodeSettings): SdkTracerProvider {
    val exporter = OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build()
    val attributes =
        Attributes
            .builder()
            .put("service.name", "boragelever")
            .put("service.instance.id", settings.node.value)
            .put("cloud.region", settings.region.value)
            .put("cloud.availability_zone", settings.zone.value)
            .build()
    return SdkTracerProvider
        .builder()
        .setResource(Resource.getDefault().merge(Resource.create(attributes)))
        .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
        .build()
}
