package fireflyhinge.gateway.forward

/** The steps that an admitted request takes. */
internal class ForwardPipeline(val quota: QuotaCharger, val plain: PlainForwarder, val streams: StreamForwarder)
