package fireflyhinge.gateway.forward

/** The stages through which an admitted request passes. */
internal class ForwardPipeline(
    val guard: CrashGuard,
    val quota: QuotaCharger,
    val plain: PlainForwarder,
    val streams: StreamForwarder,
)
