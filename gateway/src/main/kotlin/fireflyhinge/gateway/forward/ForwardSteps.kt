package fireflyhinge.gateway.forward

/** The steps that an admitted request takes. */
internal class ForwardSteps(val quota: QuotaGate, val plain: PlainForwarder, val streams: StreamForwarder)
