package fireflyhinge.daemon.service

import fireflyhinge.daemon.caller.CallerLink

/** Sends requests to plain services. */
interface ServiceClient {
    /** Sends [request] to [address] at most once. With [caller], the call is cancelled when the caller departs. */
    fun send(address: String, request: ServiceRequest, caller: CallerLink?): SendResult
}
