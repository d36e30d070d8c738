package fireflyhinge.forward

import java.util.concurrent.ConcurrentHashMap

/** Averages over the model requests of each service that this VM saw end. Thread-safe. */
class RequestMixes {
    private val mixes = ConcurrentHashMap<String, RequestMix>()

    /** A request for [service] ended whole; see [RequestMix.ended]. */
    fun ended(service: String, facts: RequestFacts, decodeMillis: Long) =
        mixes.computeIfAbsent(service) { RequestMix() }.ended(facts, decodeMillis)

    /** Averages of [service], or null while too few requests have ended. */
    fun averages(service: String): RequestAverages? = mixes[service]?.averages
}
